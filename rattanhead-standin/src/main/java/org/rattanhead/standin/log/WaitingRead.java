package org.rattanhead.standin.log;

/**
 * A read that waits for a record at its offset.
 *
 * @param read the read
 * @param deadlineNanos the time at which it is answered even without a record
 */
record WaitingRead(ReadRequested read, long deadlineNanos) {
}
