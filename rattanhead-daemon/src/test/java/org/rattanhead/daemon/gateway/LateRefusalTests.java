package org.rattanhead.daemon.gateway;

import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.rattanhead.adapter.standin.RawAnswer;
import org.rattanhead.adapter.standin.RawRequest;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Refusals of an instance that belong to an earlier request on the same connection.
 */
class LateRefusalTests {

	private static final String TELL_ROUTE = ",{'Host':'h','PathPrefix':'/tell/','Kind':'streaming','TimeoutMs':4000,"
			+ "'TargetLatencyMs':300,'MaxAttempts':2,'Service':'s','Resumable':false,'TargetGapMs':250}";

	/**
	 * Guards against REFUSED and TWICE: a refusal that was written once more was taken
	 * for the answer to the next request, which an instance was running.
	 */
	@ParameterizedTest(name = "{0}, status {1}, {2}")
	@CsvSource({ "/tell/a, 503, without an id, X-Content: copy", "/tell/a, 421, without an id, X-Content: copy",
			"/tell/a, 429, without an id, X-Content: copy", "/tell/a, 503, with another id, X-Attempt-Id: other",
			"/tell/a, 421, with another id, X-Attempt-Id: other", "/order/a, 503, without an id, X-Content: copy",
			"/order/a, 421, with another id, X-Attempt-Id: other" })
	void promisesNothingAfterRefusalOfAnotherRequest(String path, int status, String what, String header)
			throws Exception {
		AtomicInteger calls = new AtomicInteger();
		try (GatewayRig rig = new GatewayRig(2, (request) -> {
			RawAnswer right = GatewayRig.signed(request, "right");
			boolean late = request.target().equals(path) && calls.incrementAndGet() == 3;
			return late ? refusal(status, header).followedBy(new String(right.bytes())) : right;
		})) {
			rig.configure(2, TELL_ROUTE);
			GatewayRig.await(() -> rig.call(RawCaller.request("POST", "/tell/b", "b", "body")).endsWith("right"));
			for (int call = 0; call < 6; call++) {
				int before = count(rig, path);
				String answer = rig.call(RawCaller.request("POST", path, "a" + call, "body"));
				assertThat(answer).matches("(?s)HTTP/1.1 (200 .*right|502 .*)");
				assertThat(count(rig, path) - before).as("instances that may have run the request").isEqualTo(1);
			}
		}
	}

	private static int count(GatewayRig rig, String path) {
		return (int) rig.receivedRequests().stream().map(RawRequest::target).filter(path::equals).count();
	}

	private static RawAnswer refusal(int status, String header) {
		return RawAnswer.of(status, List.of(header, "X-Not-Executed: 1"), "refused");
	}

}
