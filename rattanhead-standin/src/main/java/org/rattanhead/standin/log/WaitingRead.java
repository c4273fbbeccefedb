package org.rattanhead.standin.log;

/**
 * A read that waits for a record.
 *
 * @param read the read
 * @param untilNanos when it is answered in any case
 */
record WaitingRead(ReadAsked read, long untilNanos) {
}
