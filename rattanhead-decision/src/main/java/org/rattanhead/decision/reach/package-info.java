/**
 * Decides whether this daemon has lost its links to all upstream instances while other
 * daemons reach them.
 */
package org.rattanhead.decision.reach;
