package org.rattanhead.http.forward;

import java.net.InetSocketAddress;

/**
 * Settings of the front end.
 *
 * @param listenAddress the address on which callers connect
 * @param maxHeaderBytes the maximum size of a request header, in bytes
 * @param maxBodyBytes the maximum size of a request body, in bytes
 * @param headerTimeoutMillis the timeout for receiving a header, in milliseconds
 * @param bodyTimeoutMillis the timeout for receiving a body, in milliseconds
 * @param idleTimeoutMillis the timeout of idle connections, in milliseconds
 */
public record ForwardSettings(InetSocketAddress listenAddress, int maxHeaderBytes, long maxBodyBytes,
		long headerTimeoutMillis, long bodyTimeoutMillis, long idleTimeoutMillis) {
}
