package org.rattanhead.upstream.forward;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Answers each request with a body of a fixed size, and reports how the first one ended.
 */
final class LargeAnswerServer implements AutoCloseable {

	private static final int BODY_BYTES = 16 * 1024 * 1024;

	private final int bodyBytes;

	final CompletableFuture<String> firstEnd = new CompletableFuture<>();

	final AtomicInteger requests = new AtomicInteger();

	private final ServerSocket listener = new ServerSocket(0, 64, InetAddress.getByName("127.0.0.1"));

	LargeAnswerServer() throws IOException {
		this(BODY_BYTES);
	}

	LargeAnswerServer(int bodyBytes) throws IOException {
		this.bodyBytes = bodyBytes;
		CompletableFuture.runAsync(this::accept);
	}

	InetSocketAddress address() {
		return new InetSocketAddress("127.0.0.1", this.listener.getLocalPort());
	}

	private void accept() {
		try {
			while (true) {
				Socket socket = this.listener.accept();
				CompletableFuture.runAsync(() -> answer(socket));
			}
		}
		catch (IOException ex) {
			// The test has closed the listener.
		}
	}

	private void answer(Socket socket) {
		try (socket) {
			InputStream in = socket.getInputStream();
			if (in.read() >= 0) {
				this.requests.incrementAndGet();
				// A close with unread bytes would reset the connection.
				in.readNBytes(in.available());
				String head = "HTTP/1.1 200 OK\r\nContent-Length: " + this.bodyBytes + "\r\n\r\n";
				socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
				socket.getOutputStream().write(new byte[this.bodyBytes]);
				this.firstEnd.complete("written");
			}
		}
		catch (IOException ex) {
			this.firstEnd.complete("reset");
		}
	}

	@Override
	public void close() throws IOException {
		this.listener.close();
	}

}
