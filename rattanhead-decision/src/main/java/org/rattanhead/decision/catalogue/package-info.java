/**
 * Derives the catalogue from the records of the log. The result is the same on every
 * daemon.
 */
package org.rattanhead.decision.catalogue;
