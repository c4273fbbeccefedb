package org.rattanhead.daemon.gateway;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.rattanhead.adapter.standin.RawAnswer;
import org.rattanhead.adapter.standin.RawRequest;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * A response of unknown length that is broken off must not look complete, whatever the
 * protocol version, the state of the connection and the reason.
 */
class StreamFramingTests {

	private static final String EVENTS = "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n";

	private static final int LARGE_BYTES = 600_000;

	/**
	 * Guards against ORDER and MIXED: a stream that is cut at the end of a shutdown, or
	 * on a connection that is closed after it, and looks complete.
	 */
	@ParameterizedTest(name = "{0}, {1}, shutting down: {2}, {3}")
	@CsvSource({ "HTTP/1.1, keep-alive, true, GRACE_ENDS", "HTTP/1.1, close, true, GRACE_ENDS",
			"HTTP/1.1, close, false, INSTANCE_BREAKS", "HTTP/1.1, keep-alive, true, INSTANCE_BREAKS",
			"HTTP/1.1, close, false, LARGE_PLAIN_BREAKS", "HTTP/1.1, keep-alive, true, LARGE_PLAIN_BREAKS",
			"HTTP/1.0, close, false, INSTANCE_BREAKS", "HTTP/1.0, close, true, INSTANCE_BREAKS",
			"HTTP/1.0, close, false, LARGE_PLAIN_BREAKS", "HTTP/1.1, keep-alive, false, INSTANCE_BREAKS" })
	void brokenResponseDoesNotLookComplete(String protocol, String connection, boolean draining, Break reason)
			throws Exception {
		AtomicInteger calls = new AtomicInteger();
		try (GatewayRig rig = new GatewayRig(1, (request) -> reason.answer(request, calls.getAndIncrement()))) {
			CompletableFuture<Void> drained = draining ? startDrain(rig) : CompletableFuture.completedFuture(null);
			drained.thenRun(draining ? rig.gateway::close : () -> {
			});
			String received = receive(rig, protocol, connection);
			assertThat(received).startsWith(protocol + " 200").contains(reason.firstBytes());
			assertThat(received.contains("Transfer-Encoding: chunked") ? !received.endsWith("0\r\n\r\n")
					: received.endsWith("<reset>"))
				.as("visibly broken: %s", received.substring(Math.max(0, received.length() - 80)))
				.isTrue();
		}
	}

	/** Guards against whole responses whose end the caller does not recognise. */
	@ParameterizedTest(name = "{0}, {1}, shutting down: {2}")
	@CsvSource({ "HTTP/1.1, keep-alive, true", "HTTP/1.1, close, false", "HTTP/1.1, close, true",
			"HTTP/1.0, close, false", "HTTP/1.0, close, true" })
	void wholeStreamLooksComplete(String protocol, String connection, boolean draining) throws Exception {
		try (GatewayRig rig = new GatewayRig(1, (request) -> raw(request, "text/event-stream", EVENTS, "0\r\n\r\n"))) {
			if (draining) {
				startDrain(rig);
			}
			String received = receive(rig, protocol, connection);
			assertThat(received).startsWith(protocol + " 200").contains(EVENTS).doesNotContain("<reset>");
			assertThat(received.endsWith("0\r\n\r\n")).isEqualTo(protocol.equals("HTTP/1.1"));
		}
	}

	private static CompletableFuture<Void> startDrain(GatewayRig rig) throws InterruptedException {
		CompletableFuture<Void> drained = CompletableFuture.runAsync(rig.gateway::drain);
		GatewayRig.await(() -> !rig.readiness().startsWith("HTTP/1.1 200"));
		return drained;
	}

	private static String receive(GatewayRig rig, String protocol, String connection) throws IOException {
		try (RawCaller caller = rig.caller()) {
			return caller
				.send(RawCaller.request("POST", "/ask/a", "a1", "body", "Connection: " + connection)
					.replace("HTTP/1.1", protocol))
				.allUntilEnd();
		}
	}

	private static RawAnswer raw(RawRequest request, String type, String body, String end) {
		return new RawAnswer(("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + request.header("X-Attempt-Id")
				+ "\r\nX-Response-Signature: s\r\nContent-Type: " + type + "\r\nTransfer-Encoding: chunked\r\n\r\n"
				+ Integer.toHexString(body.length()) + "\r\n" + body + "\r\n" + end)
			.getBytes(StandardCharsets.UTF_8), false, 0);
	}

	/** Why a response ends before its last byte. */
	private enum Break {

		/** The gateway stops while the instance is still sending. */
		GRACE_ENDS {
			@Override
			RawAnswer answer(RawRequest request, int call) {
				return raw(request, "text/event-stream", EVENTS, "");
			}
		},

		/** The instance closes its connection, and the next call gets an error. */
		INSTANCE_BREAKS {
			@Override
			RawAnswer answer(RawRequest request, int call) {
				return (call == 0) ? raw(request, "text/event-stream", EVENTS, "").truncated(0)
						: RawAnswer.connectionClose();
			}
		},

		/** The same for a plain response that is too large to be buffered. */
		LARGE_PLAIN_BREAKS {
			@Override
			RawAnswer answer(RawRequest request, int call) {
				return raw(request, "text/plain", firstBytes() + "x".repeat(LARGE_BYTES), "").truncated(0);
			}
		};

		abstract RawAnswer answer(RawRequest request, int call);

		String firstBytes() {
			return "id: 1\n";
		}

	}

}
