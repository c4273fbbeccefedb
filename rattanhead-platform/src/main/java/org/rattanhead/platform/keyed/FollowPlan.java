package org.rattanhead.platform.keyed;

import org.rattanhead.core.keyed.KeyedStream;

/**
 * The timing of reads of a stream.
 *
 * @param stream the stream
 * @param periodMillis the pause between reads, in milliseconds
 * @param waitMillis how long the store may wait for a new record, in milliseconds
 * @param yieldMillis how long this daemon does not read after it received an update from
 * another daemon, in milliseconds
 * @param asksPeers whether a daemon that starts first asks other daemons for the records
 */
public record FollowPlan(KeyedStream stream, long periodMillis, long waitMillis, long yieldMillis, boolean asksPeers) {
}
