package org.rattanhead.http.forward;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.rattanhead.core.Payload;
import org.rattanhead.core.forward.ForwardRequest;
import org.rattanhead.core.problem.Problem;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * A codec that throws an exception which it does not declare.
 */
class FailingCodecTests {

	private static final int ANSWER_TIMEOUT_MILLIS = 2_000;

	private static final long BODY_DELAY_MILLIS = 100;

	private static final String STATUS_LINE = "HTTP/1.1 500 Internal Server Error\r\n";

	private static final String HEAD = "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n";

	/** Guards against LOST: callers and connections that wait for ever. */
	@ParameterizedTest(name = "body later: {0}, refusals fail too: {1}, by errors: {2}")
	@CsvSource({ "false, false, false", "true, false, false", "false, true, false", "true, true, false",
			"false, true, true", "true, false, true", "true, true, true" })
	void answersEveryRequestOfTheConnection(boolean bodyLater, boolean refusalsFail, boolean errors) throws Exception {
		InetSocketAddress address = freeAddress();
		ForwardSettings settings = new ForwardSettings(address, 8192, 8192, 2_000, 2_000, 10_000);
		try (ForwardFrontEnd frontEnd = new ForwardFrontEnd("self", settings, new FailingCodec(refusalsFail, errors),
				(event, urgency) -> true, List.of()); Socket socket = new Socket("127.0.0.1", address.getPort())) {
			socket.setSoTimeout(ANSWER_TIMEOUT_MILLIS);
			for (int request = 0; request < 3; request++) {
				send(socket, HEAD);
				TimeUnit.MILLISECONDS.sleep(bodyLater ? BODY_DELAY_MILLIS : 0);
				send(socket, "body");
				assertThat(readHead(socket)).startsWith(STATUS_LINE).contains("Content-Length: 0\r\n");
			}
			assertThat(frontEnd.finish(ANSWER_TIMEOUT_MILLIS)).isTrue();
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

	private record FailingCodec(boolean refusalsFail, boolean errors) implements ForwardCodec {

		@Override
		public ForwardRequest decode(RequestHead head, Payload body) {
			throw fault("decoder fault");
		}

		@Override
		public RefusalReply refuse(Problem problem) {
			if (this.refusalsFail) {
				throw fault("encoder fault");
			}
			return new RefusalReply(problem.kind().status(), List.of(), Payload.of(""));
		}

		private RuntimeException fault(String message) {
			if (this.errors) {
				throw new StackOverflowError(message);
			}
			return new IllegalStateException(message);
		}

	}

}
