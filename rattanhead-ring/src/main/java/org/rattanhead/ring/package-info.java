/**
 * Duties: one thread each, which take events from a bounded ring. This is the only
 * package that starts threads.
 */
package org.rattanhead.ring;
