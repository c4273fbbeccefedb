package org.rattanhead.platform.catalogue;

/**
 * The next read is due, at the start or after the pause that follows a failure.
 */
record TailReadDue() implements TailEvent {
}
