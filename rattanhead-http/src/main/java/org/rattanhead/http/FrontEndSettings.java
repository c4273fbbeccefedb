package org.rattanhead.http;

import java.net.InetSocketAddress;

/**
 * Settings of the front end.
 *
 * @param listenAddress the address on which callers connect
 * @param ioThreads the number of I/O threads
 * @param maxBodyBytes the maximum size of a body, in bytes
 * @param bodyTimeoutMillis the timeout for receiving a body, in milliseconds
 * @param addressTtlMillis how long callers may cache the addresses, in milliseconds
 */
public record FrontEndSettings(InetSocketAddress listenAddress, int ioThreads, long maxBodyBytes,
		long bodyTimeoutMillis, long addressTtlMillis) {
}
