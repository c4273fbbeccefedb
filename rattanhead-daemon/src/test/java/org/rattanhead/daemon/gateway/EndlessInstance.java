package org.rattanhead.daemon.gateway;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * An instance that sends the same bytes as a body without end, until its caller closes
 * the connection.
 */
final class EndlessInstance implements AutoCloseable {

	private final ServerSocket listener = new ServerSocket(0, 512, InetAddress.getByName("127.0.0.1"));

	private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();

	private final AtomicInteger endless = new AtomicInteger();

	private final String fields;

	private final byte[] block;

	private final boolean silent;

	EndlessInstance(EndlessBody body) throws IOException {
		this.fields = body.fields();
		this.block = body.block();
		this.silent = body.silent();
		start(this::accept);
	}

	InetSocketAddress address() {
		return new InetSocketAddress("127.0.0.1", this.listener.getLocalPort());
	}

	/**
	 * Returns how many endless answers are being sent.
	 * @return the number
	 */
	int sending() {
		return this.endless.get();
	}

	private void accept() {
		while (!this.listener.isClosed()) {
			try {
				Socket socket = this.listener.accept();
				this.sockets.add(socket);
				start(() -> serve(socket));
			}
			catch (IOException ex) {
				// close() closed the listener.
			}
		}
	}

	private void serve(Socket socket) {
		boolean counted = false;
		try (socket) {
			BufferedReader in = new BufferedReader(
					new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
			String attempt = "";
			for (String line = in.readLine(); line != null && !line.isEmpty(); line = in.readLine()) {
				attempt = line.startsWith("X-Attempt-Id: ") ? line.substring("X-Attempt-Id: ".length()) : attempt;
			}
			OutputStream out = socket.getOutputStream();
			out.write(("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + attempt + "\r\nX-Response-Signature: s\r\n" + this.fields
					+ "\r\n")
				.getBytes(StandardCharsets.ISO_8859_1));
			this.endless.incrementAndGet();
			counted = true;
			do {
				out.write(this.block);
			}
			while (!this.silent || in.read() >= 0);
		}
		catch (IOException ex) {
			// The caller or close() closed the connection.
		}
		finally {
			this.sockets.remove(socket);
			this.endless.addAndGet(counted ? -1 : 0);
		}
	}

	private static void start(Runnable work) {
		Thread thread = new Thread(work, "endless-instance");
		thread.setDaemon(true);
		thread.start();
	}

	@Override
	public void close() throws IOException {
		this.listener.close();
		for (Socket socket : this.sockets) {
			socket.close();
		}
	}

}
