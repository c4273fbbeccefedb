package org.rattanhead.platform.keyed;

/**
 * A read succeeded.
 *
 * @param fromOffset the offset at which the read started
 * @param page the page read
 */
record PageArrived(long fromOffset, KeyedPage page) implements FollowEvent {
}
