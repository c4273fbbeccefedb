package org.rattanhead.platform.keyed;

/**
 * How a stream is followed.
 *
 * @param stream the stream
 * @param periodMillis the pause between reads, in milliseconds
 * @param waitMillis how long a read waits for a record, in milliseconds
 */
public record FollowPlan(KeyedStream stream, long periodMillis, long waitMillis) {
}
