package org.rattanhead.daemon.gateway;

import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

import org.rattanhead.adapter.standin.RawAnswer;
import org.rattanhead.adapter.standin.RawRequest;
import org.rattanhead.client.wire.ChunkedText;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * How streams end for callers when instances break them off or leave out their length.
 */
class StreamEndTests {

	private static final String EVENT = "id: %d\ndata: e%d\n\n";

	static Stream<Arguments> errorsAfterABrokenStream() {
		return Stream.of(Arguments.of("500", "HTTP/1.1 500 Broken", ""),
				Arguments.of("502", "HTTP/1.1 502 Bad", "Content-Type: text/event-stream\r\n"),
				Arguments.of("503, not run", "HTTP/1.1 503 Busy", "X-Not-Executed: 1\r\n"),
				Arguments.of("503, may have run", "HTTP/1.1 503 Busy", ""),
				Arguments.of("421", "HTTP/1.1 421 Other", "X-Not-Executed: 1\r\n"),
				Arguments.of("404", "HTTP/1.1 404 None", ""), Arguments.of("302", "HTTP/1.1 302 Moved", ""),
				Arguments.of("200 without events", "HTTP/1.1 200 OK", "X-Response-Signature: s\r\n"));
	}

	/**
	 * Guards against ORDER and MIXED: the error of the next instance in the middle of a
	 * stream that had begun, or an end that looks complete.
	 */
	@ParameterizedTest(name = "{0}")
	@MethodSource("errorsAfterABrokenStream")
	void breaksOffStreamThatNextInstanceAnswersWithAnError(String name, String status, String fields) throws Exception {
		AtomicInteger calls = new AtomicInteger();
		try (GatewayRig rig = new GatewayRig(2,
				(request) -> (calls.getAndIncrement() == 0) ? chunked(request, event(1) + event(2), "").truncated(0)
						: raw(status + "\r\n" + fields + "X-Attempt-Id: " + request.header("X-Attempt-Id")
								+ "\r\nContent-Length: 9\r\n\r\nits error"))) {
			String answer = rig.call(RawCaller.request("POST", "/ask/a", "a1", "body"));
			assertThat(answer).contains(event(1)).contains(event(2)).doesNotContain("its error").endsWith("<closed>");
			assertThat(answer).doesNotContain("0\r\n\r\n").containsOnlyOnce("HTTP/1.1");
		}
	}

	/** Guards against MIXED and ORDER for streams that end with their connection. */
	@ParameterizedTest(name = "broken off after {0} bytes, {1}: {2} calls")
	@CsvSource({ "-1, without Connection: close, 1", "-1, with Connection: close, 1",
			"30, without Connection: close, 2", "30, with Connection: close, 2", "17, with Connection: close, 2" })
	void endsStreamsThatEndWithTheirConnection(int bytes, String connection, int calls) throws Exception {
		String events = event(1) + event(2) + event(3);
		String close = connection.startsWith("without") ? "" : "Connection: close\r\n";
		try (GatewayRig rig = new GatewayRig(2, (request) -> {
			int first = request.header("Last-Event-Id").isEmpty() ? 1 : 2;
			return unframed(request, close,
					(first > 1) ? event(2) + event(3) : events.substring(0, (bytes < 0) ? events.length() : bytes));
		})) {
			String answer = rig.call(RawCaller.request("POST", "/ask/a", "a1", "body"));
			assertThat(answer).startsWith("HTTP/1.1 200").endsWith("0\r\n\r\n");
			assertThat(unchunked(answer)).isEqualTo(events);
			assertThat(rig.receivedRequests()).hasSize(calls);
		}
	}

	/** Guards against MIXED for answers that end with their connection. */
	@ParameterizedTest(name = "{0}, {1}")
	@CsvSource({ "/look/a, ''", "/look/a, Connection: close", "/order/a, ''", "/order/a, Connection: close" })
	void passesOnAnswersWithoutALength(String path, String connection) throws Exception {
		String field = connection.isEmpty() ? "" : connection + "\r\n";
		try (GatewayRig rig = new GatewayRig(1, (request) -> plain(request, field))) {
			for (int call = 0; call < 3; call++) {
				assertThat(rig.call(RawCaller.request("POST", path, "a" + call, "body"))).startsWith("HTTP/1.1 200")
					.endsWith("\r\n\r\nthe whole answer");
			}
		}
	}

	private static String event(int id) {
		return String.format(EVENT, id, id);
	}

	private static RawAnswer raw(String text) {
		return new RawAnswer(text.getBytes(StandardCharsets.UTF_8), false, 0);
	}

	private static RawAnswer chunked(RawRequest request, String events, String end) {
		return raw(head(request, "Transfer-Encoding: chunked\r\n") + Integer.toHexString(events.length()) + "\r\n"
				+ events + "\r\n" + end);
	}

	private static RawAnswer unframed(RawRequest request, String field, String body) {
		return new RawAnswer((head(request, field) + body).getBytes(StandardCharsets.UTF_8), true, 0);
	}

	private static RawAnswer plain(RawRequest request, String field) {
		return new RawAnswer(("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + request.header("X-Attempt-Id")
				+ "\r\nX-Response-Signature: s\r\n" + field + "\r\nthe whole answer")
			.getBytes(StandardCharsets.UTF_8), true, 0);
	}

	private static String head(RawRequest request, String field) {
		return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + request.header("X-Attempt-Id")
				+ "\r\nX-Response-Signature: s\r\nContent-Type: text/event-stream\r\n" + field + "\r\n";
	}

	private static String unchunked(String answer) {
		return ChunkedText.decode(answer.substring(answer.indexOf("\r\n\r\n") + 4));
	}

}
