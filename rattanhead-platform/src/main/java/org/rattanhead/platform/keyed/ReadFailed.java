package org.rattanhead.platform.keyed;

/**
 * A read failed.
 *
 * @param read the read
 * @param failure the failure
 */
record ReadFailed(StreamRead read, Throwable failure) implements FollowEvent {
}
