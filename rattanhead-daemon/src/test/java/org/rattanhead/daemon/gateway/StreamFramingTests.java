package org.rattanhead.daemon.gateway;

import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * A response of unknown length that is broken off must not look complete, whatever the
 * protocol version, the state of the connection and the reason.
 */
class StreamFramingTests {

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
	void brokenResponseDoesNotLookComplete(String protocol, String connection, boolean draining, StreamBreak reason)
			throws Exception {
		AtomicInteger calls = new AtomicInteger();
		try (GatewayRig rig = new GatewayRig(1, (request) -> reason.answer(request, calls.getAndIncrement()))) {
			CompletableFuture<Void> drained = draining ? startDrain(rig) : CompletableFuture.completedFuture(null);
			drained.thenRun(draining ? rig.gateway::close : () -> {
			});
			String received = receive(rig, protocol, connection);
			assertThat(received).startsWith(protocol + " 200").contains(StreamBreak.FIRST_BYTES);
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
		try (GatewayRig rig = new GatewayRig(1, StreamBreak::whole)) {
			if (draining) {
				startDrain(rig);
			}
			String received = receive(rig, protocol, connection);
			assertThat(received).startsWith(protocol + " 200").contains(StreamBreak.EVENTS).doesNotContain("<reset>");
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

}
