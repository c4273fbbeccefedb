package org.rattanhead.daemon.gateway;

import java.util.concurrent.TimeUnit;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Instances that speak of themselves in their answers, on real sockets, while the store
 * says that they are ready.
 */
class ServerNoticeEndToEndTests {

	private static final int CALLS = 20;

	/** Guards against DRAIN: requests to an instance whose answers say that it leaves. */
	@ParameterizedTest(name = "{0} with status {1}")
	@CsvSource({ "/look/a, 200 OK", "/order/a, 200 OK", "/ask/a, 200 OK", "/look/a, 404 None", "/look/a, 500 Broken",
			"/look/a, 503 Busy" })
	void callsLeavingInstanceOnce(String path, String status) throws Exception {
		try (GatewayRig rig = new GatewayRig(2, (request) -> NoticeAnswers.of(request, "200 OK", ""))) {
			rig.instances.get(0).setScript((request) -> NoticeAnswers.of(request, status, "Server-Leaving: 1\r\n"));
			for (int call = 0; call < CALLS; call++) {
				rig.call(RawCaller.request("POST", path, "a" + call, "body"));
			}
			assertThat(rig.instances.get(0).requests()).hasSizeLessThanOrEqualTo(1);
			assertThat(rig.receivedRequests()).hasSizeGreaterThanOrEqualTo(CALLS);
		}
	}

	/** Guards against BUDGET: requests to an instance that asked for time. */
	@ParameterizedTest(name = "Retry-After: {0}, not run: {1}")
	@CsvSource({ "0.7, true", "3, true", "3, false", "20, true" })
	void leavesQuietInstanceAlone(String seconds, boolean notRun) throws Exception {
		String fields = "Retry-After: " + seconds + "\r\n" + (notRun ? "X-Not-Executed: 1\r\n" : "");
		try (GatewayRig rig = new GatewayRig(2, (request) -> NoticeAnswers.of(request, "200 OK", ""))) {
			rig.instances.get(0).setScript((request) -> NoticeAnswers.of(request, "503 Busy", fields));
			long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(650);
			for (int call = 0; System.nanoTime() < endNanos; call++) {
				assertThat(rig.call(RawCaller.request("POST", "/look/a", "a" + call, "body")))
					.startsWith("HTTP/1.1 200");
				TimeUnit.MILLISECONDS.sleep(10);
			}
			assertThat(rig.instances.get(0).requests()).hasSizeLessThanOrEqualTo(1);
		}
	}

	/** Guards against callers that wait for instances of which none wants requests. */
	@ParameterizedTest(name = "Retry-After: {0}")
	@CsvSource({ "3, (2\\.[89]|3\\.)", "20, (19\\.[89]|2[0-2]\\.)" })
	void refusesWithRetryAfterOfInstances(String seconds, String pattern) throws Exception {
		try (GatewayRig rig = new GatewayRig(2, (request) -> NoticeAnswers.of(request, "503 Busy",
				"Retry-After: " + seconds + "\r\nX-Not-Executed: 1\r\n"))) {
			rig.call(RawCaller.request("POST", "/order/a", "a0", "body"));
			rig.call(RawCaller.request("POST", "/order/a", "a1", "body"));
			int before = rig.receivedRequests().size();
			String answer = rig.call(RawCaller.request("POST", "/order/a", "a2", "body"));
			assertThat(answer).startsWith("HTTP/1.1 503").containsPattern("Retry-After: " + pattern);
			assertThat(rig.receivedRequests()).hasSize(before);
		}
	}

}
