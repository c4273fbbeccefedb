package org.rattanhead.daemon.gateway;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Callers that send their body only after the gateway has asked for it.
 */
class ExpectContinueTests {

	private static final String EXPECTATION = "Expect: 100-continue";

	/** Guards against LOST: a request that waits for 100 until its body is overdue. */
	@ParameterizedTest(name = "{0}, {1}")
	@CsvSource({ "/look/a, false", "/order/a, false", "/ask/a, false", "/look/a, true", "/order/a, true" })
	void asksForTheBody(String path, boolean chunked) throws Exception {
		String whole = chunked ? RawCaller.request("POST", path, "a1", "", "Transfer-Encoding: chunked", EXPECTATION)
				+ "4\r\nbody\r\n0\r\n\r\n" : RawCaller.request("POST", path, "a1", "body", EXPECTATION);
		int bodyStart = whole.indexOf("\r\n\r\n") + 4;
		try (GatewayRig rig = new GatewayRig(1, Lookups::answer); RawCaller caller = rig.caller()) {
			for (int request = 0; request < 2; request++) {
				assertThat(caller.send(whole.substring(0, bodyStart)).answer())
					.isEqualTo("HTTP/1.1 100 Continue\r\n\r\n");
				assertThat(caller.send(whole.substring(bodyStart)).answer()).startsWith("HTTP/1.1 200")
					.doesNotContain("<closed>");
			}
			assertThat(rig.receivedRequests()).hasSize(2)
				.allMatch((request) -> new String(request.body()).equals("body") && request.header("Expect").isEmpty());
		}
	}

	/** Guards against bodies that are sent although the request is refused for them. */
	@ParameterizedTest(name = "{0}")
	@CsvSource({ "Content-Length: 20000000, 413", "Transfer-Encoding: identity, 400" })
	void refusesWithoutAskingForTheBody(String framing, int status) throws Exception {
		try (GatewayRig rig = new GatewayRig(1, Lookups::answer)) {
			assertThat(rig.call(RawCaller.request("POST", "/look/a", "a1", "", framing, EXPECTATION)))
				.startsWith("HTTP/1.1 " + status);
		}
	}

}
