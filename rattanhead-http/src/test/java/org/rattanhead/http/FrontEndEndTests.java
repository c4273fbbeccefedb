package org.rattanhead.http;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.rattanhead.core.Payload;
import org.rattanhead.core.problem.ProblemKind;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Requests that arrive while the front end of the own interface ends.
 */
class FrontEndEndTests {

	private static final int ANSWER_TIMEOUT_MILLIS = 5_000;

	private static final FrontEndObserver NO_OBSERVER = new FrontEndObserver() {

		@Override
		public void onRefused(ProblemKind kind) {
		}

		@Override
		public void onFirstBytes(double seconds) {
		}

	};

	/**
	 * Guards against LOST: a request that is read after the last check for open requests,
	 * and of which nobody is to answer.
	 */
	@ParameterizedTest(name = "{0}, body {1}, on a connection in use: {2}")
	@CsvSource({ "/v1/chat/completions, '{}', false", "/v1/chat/completions, '{}', true", "/services/a/b, '', false",
			"/services/a/b, body, true" })
	void refusesRequestAfterLastCheck(String path, String body, boolean used) throws Exception {
		FrontEndPages pages = new FrontEndPages(() -> null, () -> null, () -> true, () -> Payload.of(""),
				() -> Payload.of("{}"));
		InetSocketAddress address = freeAddress();
		try (FrontEnd frontEnd = new FrontEnd("a", new FrontEndSettings(address, 2, 8_192, 3_000, 1_000),
				(event, urgency) -> true, pages, NO_OBSERVER);
				Socket socket = new Socket("127.0.0.1", address.getPort())) {
			socket.setSoTimeout(ANSWER_TIMEOUT_MILLIS);
			if (used) {
				send(socket, "GET /readyz HTTP/1.1\r\nHost: h\r\n\r\n");
				assertThat(readHead(socket)).startsWith("HTTP/1.1 200");
			}
			assertThat(frontEnd.finish(ANSWER_TIMEOUT_MILLIS)).isTrue();
			send(socket,
					"POST " + path + " HTTP/1.1\r\nHost: h\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
			assertThat(readHead(socket)).contains("HTTP/1.1 503").contains("Connection: close");
		}
	}

	private static void send(Socket socket, String text) throws IOException {
		socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
	}

	private static String readHead(Socket socket) throws IOException {
		StringBuilder head = new StringBuilder();
		int next = 0;
		while (next >= 0 && head.indexOf("\r\n\r\n") < 0) {
			next = socket.getInputStream().read();
			head.append((char) next);
		}
		return head.toString();
	}

	private static InetSocketAddress freeAddress() throws IOException {
		try (ServerSocket socket = new ServerSocket(0)) {
			return new InetSocketAddress("127.0.0.1", socket.getLocalPort());
		}
	}

}
