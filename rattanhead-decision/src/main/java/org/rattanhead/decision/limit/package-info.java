/**
 * The requests a second that instances take from all daemons together, and when this
 * daemon may start the next one.
 */
package org.rattanhead.decision.limit;
