package org.rattanhead.platform.keyed;

/**
 * A read failed.
 *
 * @param failure the failure
 */
record ReadFailed(Throwable failure) implements FollowEvent {
}
