package org.rattanhead.platform.keyed;

import org.rattanhead.core.keyed.StreamUpdate;

/**
 * The newest records of a stream were received from another daemon.
 *
 * @param snapshot the newest record of each key
 */
record SnapshotReceived(StreamUpdate snapshot) implements FollowEvent {
}
