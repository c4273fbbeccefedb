package org.rattanhead.daemon.gateway;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/**
 * A caller of a route whose answers never end, which reads its answer or leaves it
 * unread.
 */
final class EndlessCaller implements AutoCloseable {

	private final Socket socket;

	EndlessCaller(InetSocketAddress gateway, String attempt, boolean reads) throws IOException {
		this.socket = new Socket(gateway.getAddress(), gateway.getPort());
		this.socket.getOutputStream()
			.write(RawCaller.request("POST", "/endless/" + attempt, attempt, "body").getBytes(StandardCharsets.UTF_8));
		if (reads) {
			Thread thread = new Thread(this::readAll, "endless-caller");
			thread.setDaemon(true);
			thread.start();
		}
	}

	private void readAll() {
		try {
			this.socket.getInputStream().transferTo(OutputStream.nullOutputStream());
		}
		catch (IOException ex) {
			// The gateway or close() closed the connection.
		}
	}

	@Override
	public void close() throws IOException {
		this.socket.close();
	}

}
