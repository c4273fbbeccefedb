package org.rattanhead.platform.keyed;

import org.rattanhead.core.keyed.StreamPosition;

/**
 * A read of a stream. Only the outcome of the last one counts.
 *
 * @param number increases with each read
 * @param from the position at which it started
 * @param startNanos when it started, on the monotonic clock
 */
record StreamRead(long number, StreamPosition from, long startNanos) {
}
