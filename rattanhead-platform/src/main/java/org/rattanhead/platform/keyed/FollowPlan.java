package org.rattanhead.platform.keyed;

import org.rattanhead.core.keyed.KeyedStream;

/**
 * How a stream is followed.
 *
 * @param stream the stream
 * @param periodMillis the pause between reads, in milliseconds
 * @param waitMillis how long a read waits for a record, in milliseconds
 * @param yieldMillis how long reads are left out after another daemon read the stream, in
 * milliseconds
 */
public record FollowPlan(KeyedStream stream, long periodMillis, long waitMillis, long yieldMillis) {
}
