package org.rattanhead.standin.log;

/**
 * A read that waits for a record.
 *
 * @param read the read
 * @param deadlineNanos when it is answered in any case
 */
record WaitingRead(ReadRequested read, long deadlineNanos) {
}
