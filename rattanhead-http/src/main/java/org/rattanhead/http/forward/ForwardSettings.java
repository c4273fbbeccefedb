package org.rattanhead.http.forward;

import java.net.InetSocketAddress;
import java.util.Optional;

/**
 * Settings of the front end.
 *
 * @param listenAddress the address on which callers connect
 * @param relayAddress the address on which other daemons connect to pass requests on,
 * empty if they do not
 * @param maxHeaderBytes the maximum size of a request header, in bytes
 * @param maxBodyBytes the maximum size of a request body, in bytes
 * @param headerTimeoutMillis the timeout for receiving a header, in milliseconds
 * @param bodyTimeoutMillis the timeout for receiving a body, in milliseconds
 * @param idleTimeoutMillis the timeout of idle connections, in milliseconds
 */
public record ForwardSettings(InetSocketAddress listenAddress, Optional<InetSocketAddress> relayAddress,
		int maxHeaderBytes, long maxBodyBytes, long headerTimeoutMillis, long bodyTimeoutMillis,
		long idleTimeoutMillis) {

	/**
	 * Creates settings of a front end for callers only.
	 * @param listenAddress the address on which callers connect
	 * @param maxHeaderBytes the maximum size of a request header, in bytes
	 * @param maxBodyBytes the maximum size of a request body, in bytes
	 * @param headerTimeoutMillis the timeout for receiving a header, in milliseconds
	 * @param bodyTimeoutMillis the timeout for receiving a body, in milliseconds
	 * @param idleTimeoutMillis the timeout of idle connections, in milliseconds
	 */
	public ForwardSettings(InetSocketAddress listenAddress, int maxHeaderBytes, long maxBodyBytes,
			long headerTimeoutMillis, long bodyTimeoutMillis, long idleTimeoutMillis) {
		this(listenAddress, Optional.empty(), maxHeaderBytes, maxBodyBytes, headerTimeoutMillis, bodyTimeoutMillis,
				idleTimeoutMillis);
	}

}
