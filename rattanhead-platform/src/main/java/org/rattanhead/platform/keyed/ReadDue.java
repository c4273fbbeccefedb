package org.rattanhead.platform.keyed;

/**
 * A read may be due.
 *
 * @param timer the number of the timer that ran out; only the newest one counts
 */
record ReadDue(long timer) implements FollowEvent {
}
