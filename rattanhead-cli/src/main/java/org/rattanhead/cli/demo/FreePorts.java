package org.rattanhead.cli.demo;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;

/**
 * Finds free ports on the loopback interface.
 */
public final class FreePorts {

	private FreePorts() {
	}

	/**
	 * Finds an address that nobody listens on.
	 * @return the address and port
	 */
	public static String address() {
		try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			return "127.0.0.1:" + socket.getLocalPort();
		}
		catch (IOException ex) {
			throw new UncheckedIOException("No port is free; close other programs", ex);
		}
	}

}
