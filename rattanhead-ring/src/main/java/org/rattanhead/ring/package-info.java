/**
 * Duties, each a thread that handles the events of a bounded ring buffer. This is the
 * only package that creates threads.
 */
package org.rattanhead.ring;
