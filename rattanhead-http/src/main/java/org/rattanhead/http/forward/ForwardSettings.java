package org.rattanhead.http.forward;

import java.net.InetSocketAddress;

/**
 * Settings of the front end.
 *
 * @param listenAddress where callers connect
 * @param maxHeaderBytes the largest header of a request, in bytes
 * @param maxBodyBytes the largest body of a request, in bytes
 * @param headerTimeoutMillis how long a header may take to arrive, in milliseconds
 * @param bodyTimeoutMillis how long a body may take to arrive, in milliseconds
 * @param idleTimeoutMillis how long a connection may be idle, in milliseconds
 */
public record ForwardSettings(InetSocketAddress listenAddress, int maxHeaderBytes, long maxBodyBytes,
		long headerTimeoutMillis, long bodyTimeoutMillis, long idleTimeoutMillis) {
}
