package org.rattanhead.client;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Replies in chunks of any size, up to replies that never end, are read in bounded
 * portions.
 */
class TinyChunksTests {

	private static final long TIMEOUT_MILLIS = 5_000;

	private static final int BUFFER_BYTES = 16 * 1024;

	private static final String HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

	/** Guards against CONFIG: one event for each byte that a server sends. */
	@ParameterizedTest(name = "{0} chunks of {1} bytes")
	@CsvSource({ "100000, 1", "20000, 7", "300, 5000", "10, 100000" })
	void deliversSmallChunksTogether(int chunks, int chunkBytes) throws Exception {
		byte[] wire = (HEAD + chunk(chunkBytes).repeat(chunks) + "0\r\n\r\n").getBytes(StandardCharsets.US_ASCII);
		try (ServerSocket listener = listen(); HttpClient client = new HttpClient("test", 1)) {
			serve(listener, (out) -> out.write(wire));
			CountingObserver observer = new CountingObserver(Long.MAX_VALUE);
			client.start(HttpCall.get(address(listener), "/", TIMEOUT_MILLIS), observer);
			assertThat(observer.ended().get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)).isEqualTo("ended");
			assertThat(observer.bytes()).isEqualTo((long) chunks * chunkBytes);
			assertThat(observer.parts()).isLessThan(100 + observer.bytes() / 64);
		}
	}

	/**
	 * Guards against CONFIG: a reply without end that keeps the I/O thread for itself.
	 */
	@ParameterizedTest(name = "chunks of {0} bytes")
	@ValueSource(ints = { 1, 100, 16_000 })
	void answersOtherCallsBesideReplyWithoutEnd(int chunkBytes) throws Exception {
		byte[] block = chunk(chunkBytes).repeat(Math.max(1, 60_000 / chunkBytes)).getBytes(StandardCharsets.US_ASCII);
		try (ServerSocket endless = listen();
				ServerSocket sound = listen();
				HttpClient client = new HttpClient("test", 1)) {
			serve(endless, (out) -> sendUntilClosed(out, block));
			serve(sound, (out) -> out.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok"
				.getBytes(StandardCharsets.US_ASCII)));
			CountingObserver observer = new CountingObserver(Long.MAX_VALUE);
			client.start(HttpCall.get(address(endless), "/", TIMEOUT_MILLIS), observer);
			observer.started().get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
			for (int call = 0; call < 5; call++) {
				HttpReply reply = client.call(HttpCall.get(address(sound), "/", 1_000)).get(1, TimeUnit.SECONDS);
				assertThat(reply.body().text()).isEqualTo("ok");
			}
			assertThat(observer.ended()).isNotDone();
		}
	}

	/** Guards against memory that grows with a reply that its caller does not take. */
	@ParameterizedTest(name = "chunks of {0} bytes, window {1}")
	@CsvSource({ "1, 16384", "1, 65536", "16000, 65536", "100000, 262144" })
	void deliversNoMoreThanWindowAndGrants(int chunkBytes, long windowBytes) throws Exception {
		byte[] block = chunk(chunkBytes).repeat(Math.max(1, 60_000 / chunkBytes)).getBytes(StandardCharsets.US_ASCII);
		try (ServerSocket listener = listen(); HttpClient client = new HttpClient("test", 1)) {
			serve(listener, (out) -> sendUntilClosed(out, block));
			CountingObserver observer = new CountingObserver(windowBytes);
			OngoingCall call = client.start(HttpCall.get(address(listener), "/", TIMEOUT_MILLIS), observer);
			for (int grants = 0; grants < 3; grants++) {
				long allowed = (grants + 1) * windowBytes;
				observer.await(allowed, TIMEOUT_MILLIS);
				TimeUnit.MILLISECONDS.sleep(50);
				assertThat(observer.bytes()).isBetween(allowed, allowed + BUFFER_BYTES);
				call.grant(windowBytes);
			}
		}
	}

	/** Guards against ORDER: events lost because the connection broke after them. */
	@ParameterizedTest(name = "{0} chunks of {1} bytes, then {2}")
	@CsvSource({ "3, 10, ''", "5000, 1, ''", "3, 10, 'ff|abc'", "3, 20000, 'zz|'" })
	void deliversBytesBeforeBreak(int chunks, int chunkBytes, String rest) throws Exception {
		String text = HEAD + chunk(chunkBytes).repeat(chunks) + rest.replace("|", "\r\n");
		try (ServerSocket listener = listen(); HttpClient client = new HttpClient("test", 1)) {
			serve(listener, (out) -> out.write(text.getBytes(StandardCharsets.US_ASCII)));
			CountingObserver observer = new CountingObserver(Long.MAX_VALUE);
			client.start(HttpCall.get(address(listener), "/", TIMEOUT_MILLIS), observer);
			assertThat(observer.ended().get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)).isEqualTo("BROKEN");
			assertThat(observer.bytes()).isGreaterThanOrEqualTo((long) chunks * chunkBytes);
		}
	}

	private static String chunk(int bytes) {
		return Integer.toHexString(bytes) + "\r\n" + "x".repeat(bytes) + "\r\n";
	}

	private static ServerSocket listen() throws IOException {
		return new ServerSocket(0, 8, InetAddress.getByName("127.0.0.1"));
	}

	private static InetSocketAddress address(ServerSocket listener) {
		return new InetSocketAddress("127.0.0.1", listener.getLocalPort());
	}

	private static void sendUntilClosed(OutputStream out, byte[] block) throws IOException {
		out.write(HEAD.getBytes(StandardCharsets.US_ASCII));
		while (true) {
			out.write(block);
		}
	}

	private static void serve(ServerSocket listener, WireScript script) {
		CompletableFuture.runAsync(() -> {
			while (!listener.isClosed()) {
				try (Socket socket = listener.accept()) {
					if (socket.getInputStream().read() >= 0) {
						script.send(socket.getOutputStream());
						socket.shutdownOutput();
						socket.getInputStream().transferTo(OutputStream.nullOutputStream());
					}
				}
				catch (IOException ex) {
					// The client or the test closed the connection.
				}
			}
		});
	}

}
