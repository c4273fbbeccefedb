package org.rattanhead.platform.keyed;

/**
 * Another daemon requested the newest records of a stream.
 *
 * @param host the host of that daemon
 */
record SnapshotRequested(String host) implements FollowEvent {
}
