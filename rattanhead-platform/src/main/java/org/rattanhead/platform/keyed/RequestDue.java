package org.rattanhead.platform.keyed;

/**
 * A snapshot may have to be requested again.
 */
record RequestDue() implements FollowEvent {
}
