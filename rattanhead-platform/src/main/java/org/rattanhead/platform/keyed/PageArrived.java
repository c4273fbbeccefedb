package org.rattanhead.platform.keyed;

/**
 * A read succeeded.
 *
 * @param fromOffset where it began
 * @param page what it found
 */
record PageArrived(long fromOffset, KeyedPage page) implements FollowEvent {
}
