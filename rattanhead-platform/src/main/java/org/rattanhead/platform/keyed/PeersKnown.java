package org.rattanhead.platform.keyed;

/**
 * The announcements of the other daemons were read for the first time.
 *
 * @param others whether there are any
 */
record PeersKnown(boolean others) implements FollowEvent {
}
