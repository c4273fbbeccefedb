package org.rattanhead.client;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import org.rattanhead.core.Payload;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * A server closes its connection inside the head of its reply.
 */
class CutHeadTests {

	private static final long TIMEOUT_MILLIS = 3_000;

	private static final String LENGTH = "HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\nContent-Length: 16\r\n\r\n";

	private static final String CHUNKED = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX: y\r\n\r\n";

	private static final String UNFRAMED = "HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\nConnection: close\r\n\r\n";

	static Stream<Arguments> heads() {
		return Stream.of(LENGTH, CHUNKED, UNFRAMED)
			.flatMap((head) -> Stream.of(false, true).map((half) -> Arguments.of(head, half)));
	}

	/**
	 * Guards against MIXED and ORDER: a head that was cut, taken for a reply with an
	 * empty or short body.
	 */
	@ParameterizedTest(name = "{0}, half-closed: {1}")
	@MethodSource("heads")
	void failsCallWhoseHeadIsCut(String head, boolean halfClosed) throws Exception {
		try (ServerSocket listener = new ServerSocket(0, 8, InetAddress.getByName("127.0.0.1"));
				HttpClient client = new HttpClient("test", 1)) {
			List<String> cuts = IntStream.range(0, head.length()).mapToObj((end) -> head.substring(0, end)).toList();
			CompletableFuture.runAsync(() -> cuts.forEach((cut) -> serve(listener, cut, halfClosed)));
			for (String cut : cuts) {
				HttpCall call = new HttpCall(new InetSocketAddress("127.0.0.1", listener.getLocalPort()), "POST", "/",
						List.of(), Payload.of("body"), TIMEOUT_MILLIS);
				String result = client.call(call)
					.handle((reply, failure) -> (reply != null) ? "status " + reply.status() : "failed")
					.get(TIMEOUT_MILLIS - 500, TimeUnit.MILLISECONDS);
				assertThat(result).as("after %s", cut).isEqualTo("failed");
			}
		}
	}

	private static void serve(ServerSocket listener, String cut, boolean halfClosed) {
		try (Socket socket = listener.accept()) {
			while (socket.getInputStream().available() < "body".length()) {
				TimeUnit.MILLISECONDS.sleep(1);
			}
			socket.getOutputStream().write(cut.getBytes(StandardCharsets.US_ASCII));
			if (halfClosed) {
				socket.shutdownOutput();
				socket.getInputStream().transferTo(OutputStream.nullOutputStream());
			}
		}
		catch (IOException ex) {
			// The client closed the connection.
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
