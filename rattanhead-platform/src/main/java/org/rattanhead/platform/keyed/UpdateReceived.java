package org.rattanhead.platform.keyed;

import org.rattanhead.core.keyed.StreamUpdate;

/**
 * An update was received from another daemon.
 *
 * @param host the host of that daemon
 * @param senderHasPriority whether that daemon continues to read if both daemons read
 * @param update the update
 */
record UpdateReceived(String host, boolean senderHasPriority, StreamUpdate update) implements FollowEvent {
}
