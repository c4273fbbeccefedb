package org.rattanhead.http;

import java.net.InetSocketAddress;

/**
 * Settings of the front end.
 *
 * @param listenAddress where callers connect
 * @param ioThreads the number of I/O threads
 * @param maxBodyBytes the largest body accepted, in bytes
 * @param bodyTimeoutMillis how long a body may take to arrive, in milliseconds
 * @param addressTtlMillis how long callers may keep the addresses, in milliseconds
 */
public record FrontEndSettings(InetSocketAddress listenAddress, int ioThreads, long maxBodyBytes,
		long bodyTimeoutMillis, long addressTtlMillis) {
}
