package org.rattanhead.daemon.gateway;

import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Final answers on kept connections, whatever instances do with the calls.
 */
class InstanceAnswerTests {

	/** The timeout of the routes, and the time in which the answer must follow it. */
	private static final long MAX_ANSWER_MILLIS = 4_500;

	/**
	 * Guards against LOST: a kept connection that is closed, or stays without an answer,
	 * after its request was passed on.
	 */
	@ParameterizedTest(name = "{0}: {1} {2}")
	@CsvSource({ "CLOSES, POST, /look/a, 502", "CLOSES, POST, /order/a, 502", "CLOSES_KEPT, POST, /look/a, 200|502",
			"CLOSES_KEPT, POST, /order/a, 200|502", "CLOSES_AFTER, POST, /look/a, 200",
			"CLOSES_AFTER, POST, /order/a, 200", "CONTINUES, POST, /look/a, 200", "CONTINUES, POST, /order/a, 200",
			"HINTS, POST, /look/a, 200", "HINTS, POST, /order/a, 200", "NO_CONTENT, POST, /look/a, 204",
			"NO_CONTENT, POST, /order/a, 204", "NOT_MODIFIED, GET, /look/a, 304", "SHORT, POST, /look/a, 502",
			"SHORT, POST, /order/a, 502", "LONG, POST, /look/a, 200", "LONG, POST, /order/a, 200",
			"SILENT, POST, /look/a, 502|504", "SILENT, POST, /order/a, 504", "STOPS_AFTER_HEAD, POST, /look/a, 502|504",
			"STOPS_AFTER_HEAD, POST, /order/a, 504", "NONSENSE, POST, /look/a, 502", "NONSENSE, POST, /order/a, 502",
			"NOT_RUN, POST, /look/a, 503", "NOT_RUN, POST, /order/a, 503", "CLOSES, POST, /ask/a, 502",
			"SILENT, POST, /ask/a, 502|504" })
	void answersOnKeptConnection(InstanceAnswer behaviour, String method, String path, String status) throws Exception {
		AtomicInteger calls = new AtomicInteger();
		try (GatewayRig rig = new GatewayRig(2, (request) -> behaviour.answer(request, calls.incrementAndGet()));
				RawCaller caller = rig.caller()) {
			for (int attempt = 0; attempt < 3; attempt++) {
				long startNanos = System.nanoTime();
				String body = method.equals("GET") ? "" : "body";
				String answer = caller.send(RawCaller.request(method, path, "a" + attempt, body)).answer();
				assertThat(answer).as("answer %d", attempt)
					.matches("(?s)HTTP/1.1 (" + status + ") .*")
					.doesNotContain("<closed>", "Connection: close");
				assertThat((System.nanoTime() - startNanos) / 1_000_000).as("time to the answer, in ms")
					.isLessThan(MAX_ANSWER_MILLIS);
			}
		}
	}

}
