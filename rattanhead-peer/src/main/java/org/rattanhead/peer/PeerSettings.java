package org.rattanhead.peer;

import java.net.InetSocketAddress;

/**
 * Settings of the links.
 *
 * @param self the name of this daemon
 * @param listenAddress the address on which other daemons connect
 * @param pingMillis the period of pings, in milliseconds
 * @param idleTimeoutMillis the time without a frame after which a link is closed, in
 * milliseconds
 */
public record PeerSettings(String self, InetSocketAddress listenAddress, long pingMillis, long idleTimeoutMillis) {
}
