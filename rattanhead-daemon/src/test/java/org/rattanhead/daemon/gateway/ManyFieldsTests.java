package org.rattanhead.daemon.gateway;

import java.util.stream.Collectors;
import java.util.stream.IntStream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Heads of many short parts, within the limit of their size in bytes.
 */
class ManyFieldsTests {

	/** Guards against DENIED: a 400 for the number of fields or of query parameters. */
	@ParameterizedTest(name = "{0} fields, {1} parameters")
	@CsvSource({ "190, 990", "250, 1", "1500, 1", "1, 1100", "1, 4000" })
	void forwardsHeadsWithinTheLimitOfTheirSize(int fields, int parameters) throws Exception {
		String query = IntStream.range(0, parameters).mapToObj((index) -> "p" + index).collect(Collectors.joining("&"));
		String[] lines = IntStream.range(0, fields).mapToObj((index) -> "X-" + index + ": 1").toArray(String[]::new);
		try (GatewayRig rig = new GatewayRig(1, Lookups::answer)) {
			assertThat(rig.call(RawCaller.request("POST", "/look/a?" + query, "a1", "body", lines)))
				.startsWith("HTTP/1.1 200");
			assertThat(rig.receivedRequests()).singleElement()
				.satisfies((request) -> assertThat(request.target()).isEqualTo("/look/a?" + query))
				.satisfies((request) -> assertThat(request.header("X-" + (fields - 1))).isEqualTo("1"));
		}
	}

}
