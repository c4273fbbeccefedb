package org.rattanhead.platform.keyed;

/**
 * A read succeeded.
 *
 * @param read the read
 * @param page the page read
 */
record PageArrived(StreamRead read, KeyedPage page) implements FollowEvent {
}
