package org.rattanhead.client.wire;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import java.util.function.UnaryOperator;

/**
 * Sends replies as they are written down. Requests have no body.
 */
public final class WireServer implements AutoCloseable {

	/** The time that the caller has to read the reply before its connection ends. */
	private static final long END_DELAY_MILLIS = 50;

	private final ServerSocket listener = new ServerSocket(0, 64, InetAddress.getByName("127.0.0.1"));

	private final Set<Socket> openSockets = ConcurrentHashMap.newKeySet();

	private final AtomicInteger connections = new AtomicInteger();

	private final Function<String, WireReply> replies;

	private final UnaryOperator<String> fields;

	/**
	 * Starts a server.
	 * @param replies returns the reply to the head of a request
	 * @param fields returns the header fields to add for the head of a request
	 * @throws IOException if there is no free port
	 */
	public WireServer(Function<String, WireReply> replies, UnaryOperator<String> fields) throws IOException {
		this.replies = replies;
		this.fields = fields;
		start(this::accept);
	}

	/**
	 * Returns the address on which the server listens.
	 * @return the address
	 */
	public InetSocketAddress address() {
		return new InetSocketAddress("127.0.0.1", this.listener.getLocalPort());
	}

	/**
	 * Returns the number of accepted connections.
	 * @return the number
	 */
	public int connectionCount() {
		return this.connections.get();
	}

	private void accept() {
		try {
			while (true) {
				Socket socket = this.listener.accept();
				this.connections.incrementAndGet();
				this.openSockets.add(socket);
				start(() -> serve(socket));
			}
		}
		catch (IOException ex) {
			// close() closed the listener.
		}
	}

	private void serve(Socket socket) {
		try (socket) {
			BufferedReader in = new BufferedReader(
					new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
			for (String request = request(in); !request.isEmpty(); request = request(in)) {
				WireReply reply = this.replies.apply(request);
				byte[] bytes = reply.with(this.fields.apply(request)).getBytes(StandardCharsets.ISO_8859_1);
				socket.getOutputStream().write(bytes);
				Thread.sleep((reply.end() == WireEnd.KEEPS) ? 0 : END_DELAY_MILLIS);
				if (reply.end() == WireEnd.REPEATS) {
					socket.getOutputStream().write(bytes);
				}
				else if (reply.end() != WireEnd.KEEPS) {
					socket.setSoLinger(reply.end() == WireEnd.RESETS, 0);
					return;
				}
			}
		}
		catch (IOException ex) {
			// The client or close() closed the connection.
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		finally {
			this.openSockets.remove(socket);
		}
	}

	/**
	 * Reads a request.
	 * @param in the connection
	 * @return the lines of its head, empty text if the connection has ended
	 * @throws IOException if the connection broke
	 */
	private static String request(BufferedReader in) throws IOException {
		StringBuilder head = new StringBuilder();
		for (String line = in.readLine(); line != null && !line.isEmpty(); line = in.readLine()) {
			head.append(line).append('\n');
		}
		return head.toString();
	}

	private static void start(Runnable work) {
		Thread thread = new Thread(work, "wire-server");
		thread.setDaemon(true);
		thread.start();
	}

	@Override
	public void close() throws IOException {
		this.listener.close();
		for (Socket socket : this.openSockets) {
			socket.close();
		}
	}

}
