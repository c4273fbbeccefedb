package org.rattanhead.proof;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/**
 * The reply to a request that is sent as raw bytes on a socket.
 *
 * @param text everything received until the peer closed the connection
 */
record RawReply(String text) {

	private static final int TIMEOUT_MILLIS = 20_000;

	static RawReply send(InetSocketAddress address, String bytes) throws IOException {
		try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
			socket.setSoTimeout(TIMEOUT_MILLIS);
			socket.getOutputStream().write(bytes.getBytes(StandardCharsets.UTF_8));
			socket.getOutputStream().flush();
			return new RawReply(new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8));
		}
	}

}
