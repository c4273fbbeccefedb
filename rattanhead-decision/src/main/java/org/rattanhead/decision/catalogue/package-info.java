/**
 * How the catalogue follows from the records of the log: the same on every daemon.
 */
package org.rattanhead.decision.catalogue;
