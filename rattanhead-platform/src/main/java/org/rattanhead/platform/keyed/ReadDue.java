package org.rattanhead.platform.keyed;

/**
 * A read may be due.
 *
 * @param timer the number of the timer that expired; only the newest timer counts
 */
record ReadDue(long timer) implements FollowEvent {
}
