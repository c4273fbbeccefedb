package org.rattanhead.platform.keyed;

/**
 * Another daemon, which reads the store, sent a message about another stream.
 *
 * @param host the host of that daemon
 */
record PeerContacted(String host) implements FollowEvent {
}
