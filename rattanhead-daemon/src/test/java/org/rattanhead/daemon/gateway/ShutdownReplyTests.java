package org.rattanhead.daemon.gateway;

import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.rattanhead.adapter.standin.RawAnswer;
import org.rattanhead.adapter.standin.RawRequest;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Requests that are left at the end of the grace period of a shutdown, on real sockets.
 */
class ShutdownReplyTests {

	private static final long LATER_THAN_GRACE_MILLIS = 6_000;

	/** Guards against LOST: a connection that is closed without a final reply. */
	@ParameterizedTest(name = "{0}, sent {1} ms after the signal: {2}")
	@CsvSource({ "/look/a, 0, 502", "/order/a, 0, 502", "/ask/a, 0, 502", "/look/a, 700, 502", "/order/a, 700, 502",
			"/look/a, 1150, 503", "/order/a, 1150, 503" })
	void repliesBeforeConnectionCloses(String path, long afterMillis, int status) throws Exception {
		try (GatewayRig rig = new GatewayRig(2,
				(request) -> GatewayRig.signed(request, "late").delayedBy(LATER_THAN_GRACE_MILLIS));
				RawCaller first = rig.caller();
				RawCaller caller = rig.caller()) {
			first.send(RawCaller.request("POST", "/order/first", "a0", "body"));
			GatewayRig.await(() -> !rig.receivedRequests().isEmpty());
			CompletableFuture<Void> stopped = CompletableFuture.runAsync(rig.gateway::drain)
				.thenRun(rig.gateway::close);
			TimeUnit.MILLISECONDS.sleep(afterMillis);
			String answer = caller.send(RawCaller.request("POST", path, "a1", "body")).answer();
			assertThat(answer).startsWith("HTTP/1.1 " + status).doesNotContain("<closed>");
			assertThat(first.answer()).startsWith("HTTP/1.1 502").doesNotContain("<closed>");
			assertThat(rig.receivedRequests()).filteredOn((request) -> request.target().equals(path))
				.hasSizeBetween((status == 503) ? 0 : 1, (status == 503) ? 0 : 2);
			stopped.get(2, TimeUnit.SECONDS);
		}
	}

	/**
	 * Guards against answers that are cut although their instance has sent them whole.
	 */
	@ParameterizedTest(name = "{0} bytes, read after {1} ms")
	@CsvSource({ "1000, 500", "200000, 1000", "6000000, 300" })
	void writesWholeAnswerBeforeConnectionCloses(int bytes, long readAfterMillis) throws Exception {
		try (GatewayRig rig = new GatewayRig(1, (request) -> sized(request, bytes)); RawCaller caller = rig.caller()) {
			CompletableFuture<Void> stopped = CompletableFuture.runAsync(rig.gateway::drain)
				.thenRun(rig.gateway::close);
			caller.send(RawCaller.request("POST", "/look/a", "a1", "body"));
			TimeUnit.MILLISECONDS.sleep(readAfterMillis);
			assertThat(caller.allUntilEnd().chars().filter((next) -> next == 'x').count()).isEqualTo(bytes);
			stopped.get(3, TimeUnit.SECONDS);
		}
	}

	private static RawAnswer sized(RawRequest request, int bytes) {
		return new RawAnswer(("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + request.header("X-Attempt-Id")
				+ "\r\nX-Response-Signature: s\r\nContent-Length: " + bytes + "\r\n\r\n" + "x".repeat(bytes))
			.getBytes(StandardCharsets.US_ASCII), false, 0);
	}

}
