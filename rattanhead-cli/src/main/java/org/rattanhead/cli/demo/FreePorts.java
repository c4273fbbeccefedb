package org.rattanhead.cli.demo;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Finds free ports on the loopback interface, below the range of ephemeral ports.
 */
public final class FreePorts {

	private static final int FIRST_PORT = 18_000;

	private static final int PORT_COUNT = 12_000;

	private static final AtomicInteger NEXT_INDEX = new AtomicInteger(
			(int) (ProcessHandle.current().pid() * 97 % PORT_COUNT));

	private FreePorts() {
	}

	/**
	 * Finds an address that no process listens on. One process never returns the same
	 * address twice until it has tried every port in the range.
	 * @return the address and port
	 */
	public static String address() {
		for (int tried = 0; tried < PORT_COUNT; tried++) {
			int port = FIRST_PORT + Math.floorMod(NEXT_INDEX.getAndIncrement(), PORT_COUNT);
			if (isFree(port)) {
				return "127.0.0.1:" + port;
			}
		}
		throw new IllegalStateException(
				"No free port among " + PORT_COUNT + " from " + FIRST_PORT + "; stop other programs");
	}

	private static boolean isFree(int port) {
		try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
			return socket.isBound();
		}
		catch (IOException ex) {
			return false;
		}
	}

}
