package org.rattanhead.daemon.gateway;

import java.nio.charset.StandardCharsets;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.rattanhead.adapter.standin.RawAnswer;
import org.rattanhead.adapter.standin.RawRequest;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * An instance stops inside the head of its answer and closes the connection.
 */
class CutHeadEndToEndTests {

	private static final String EVENT_STREAM = "Content-Type: text/event-stream\r\n";

	/** Guards against MIXED and ORDER: a cut head that the caller gets as a whole 200. */
	@ParameterizedTest(name = "{0}, {1} bytes missing, of a stream: {2}")
	@CsvSource({ "/look/a, 1, false", "/look/a, 2, false", "/look/a, 3, false", "/look/a, 5, false",
			"/look/a, 30, false", "/order/a, 1, false", "/order/a, 2, false", "/order/a, 4, false",
			"/order/a, 30, false", "/ask/a, 1, true", "/ask/a, 2, true", "/ask/a, 20, true", "/ask/a, 2, false" })
	void doesNotPassOnCutHead(String path, int missing, boolean streamed) throws Exception {
		try (GatewayRig rig = new GatewayRig(2, (request) -> cut(request, missing, streamed))) {
			String answer = rig.call(RawCaller.request("POST", path, "a1", "body"));
			assertThat(answer).startsWith("HTTP/1.1 502").doesNotContain("X-Response-Signature");
		}
	}

	private static RawAnswer cut(RawRequest request, int missing, boolean streamed) {
		String head = "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + request.header("X-Attempt-Id")
				+ "\r\nX-Response-Signature: s\r\n" + (streamed ? EVENT_STREAM : "Content-Length: 16\r\n") + "\r\n";
		return new RawAnswer(head.getBytes(StandardCharsets.US_ASCII), true, 0).truncated(missing);
	}

}
