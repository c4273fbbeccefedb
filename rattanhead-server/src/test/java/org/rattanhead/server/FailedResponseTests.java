package org.rattanhead.server;

import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.undertow.Undertow;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HttpString;
import io.undertow.util.SameThreadExecutor;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.rattanhead.core.Payload;
import org.rattanhead.core.TurnQueue;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Responses whose head cannot be set, on real sockets.
 */
class FailedResponseTests {

	private static final int ANSWER_TIMEOUT_MILLIS = 2_000;

	/** Guards against LOST and MIXED: no answer, or a body under the default status. */
	@ParameterizedTest(name = "{0} bytes, each part alone: {1}, by an error: {2}")
	@CsvSource({ "10, false, false", "10, true, false", "100000, false, false", "100000, true, false",
			"10, false, true", "100000, true, true" })
	void answersWithStatus500(int bytes, boolean separately, boolean error) throws Exception {
		CompletableFuture<Void> disconnected = new CompletableFuture<>();
		Undertow server = Undertow.builder()
			.setIoThreads(1)
			.setWorkerThreads(1)
			.addHttpListener(0, "127.0.0.1")
			.setHandler((exchange) -> exchange.dispatch(SameThreadExecutor.INSTANCE,
					() -> respond(exchange, bytes, separately, error, () -> disconnected.complete(null))))
			.build();
		server.start();
		InetSocketAddress address = (InetSocketAddress) server.getListenerInfo().get(0).getAddress();
		try (Socket socket = new Socket("127.0.0.1", address.getPort())) {
			socket.setSoTimeout(ANSWER_TIMEOUT_MILLIS);
			socket.getOutputStream().write("GET / HTTP/1.1\r\nHost: h\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
			String answer = new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
			assertThat(answer).startsWith("HTTP/1.1 500").endsWith("\r\n\r\n").doesNotContain("X-Signature");
			disconnected.get(ANSWER_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
		}
		finally {
			server.stop();
		}
	}

	private static void respond(HttpServerExchange exchange, int bytes, boolean separately, boolean error,
			Runnable onDisconnect) {
		ResponseWriter writer = new ResponseWriter(exchange, onDisconnect);
		TurnQueue turns = new TurnQueue(
				(round) -> exchange.getIoThread().executeAfter(round, 1, TimeUnit.MILLISECONDS));
		ResponseOutbox outbox = new ResponseOutbox(separately ? Runnable::run : exchange.getIoThread()::execute, writer,
				turns);
		outbox.begin(() -> {
			exchange.getResponseHeaders().put(new HttpString("X-Signature"), "s");
			if (error) {
				throw new OutOfMemoryError("expected by the test");
			}
			throw new IllegalArgumentException("head");
		});
		outbox.write(Payload.of("x".repeat(bytes)));
		outbox.end(writer::end);
	}

}
