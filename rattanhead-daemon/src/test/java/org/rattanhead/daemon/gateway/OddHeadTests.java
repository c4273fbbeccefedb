package org.rattanhead.daemon.gateway;

import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.rattanhead.adapter.standin.RawServer;
import org.rattanhead.adapter.standin.StoreStandin;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Requests with odd values in the fields that a gateway reads, on a kept connection.
 */
class OddHeadTests {

	private static final long BODY_DELAY_MILLIS = 100;

	/**
	 * Guards against LOST: an exception in the decoder that leaves its caller, or the
	 * next request on the connection, without an answer.
	 */
	@ParameterizedTest(name = "{0}, body later: {1}, status {2}")
	@CsvSource(delimiter = '|',
			value = { "X-Token-Usage: , | false | 400", "X-Token-Usage: , | true | 400",
					"X-Token-Usage: ,, | true | 400", "X-Token-Usage: NaN,1 | true | 400",
					"X-Token-Usage: Infinity,1 | true | 400", "X-Token-Usage: 9, | true | 200",
					"X-Deadline-Remaining-Ms: NaN | true | 200", "X-Prompt-Prefix: ,:, | true | 200",
					"X-Length-Hint: 1e300 | true | 200" })
	void answersEveryRequestOnTheConnection(String field, boolean bodyLater, String status, @TempDir Path folder)
			throws Exception {
		try (StoreStandin store = new StoreStandin(); RawServer instance = new RawServer(Lookups::answer)) {
			GatewayRig.configure(store, 1, "");
			GatewayRig.register(store, 0, instance.address(), "ready");
			try (GatewayProcess gateway = new GatewayProcess(folder, "self", store.server().address())) {
				Lookups.awaitFirst(gateway);
				try (RawCaller caller = new RawCaller(gateway.callersAddress())) {
					String odd = RawCaller.request("POST", "/look/a", "odd", "body", field);
					int bodyStart = odd.length() - (bodyLater ? "body".length() : 0);
					caller.send(odd.substring(0, bodyStart));
					TimeUnit.MILLISECONDS.sleep(BODY_DELAY_MILLIS);
					caller.send(odd.substring(bodyStart));
					assertThat(caller.answer()).startsWith("HTTP/1.1 " + status).doesNotContain("<closed>");
					caller.send(RawCaller.request("GET", "/look/a", "next", ""));
					assertThat(caller.answer()).startsWith("HTTP/1.1 200").doesNotContain("<closed>");
				}
			}
		}
	}

}
