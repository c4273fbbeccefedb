package org.rattanhead.peer;

import java.net.InetSocketAddress;

/**
 * Settings of the links.
 *
 * @param self the name of this daemon
 * @param listenAddress where other daemons connect
 * @param pingMillis the period of pings, in milliseconds
 * @param silenceMillis after how long without a frame a link is closed, in milliseconds
 */
public record PeerSettings(String self, InetSocketAddress listenAddress, long pingMillis, long silenceMillis) {
}
