package org.rattanhead.proof;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.CompletionException;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import org.rattanhead.client.HttpCall;
import org.rattanhead.client.HttpClient;
import org.rattanhead.client.HttpReply;
import org.rattanhead.core.HttpField;
import org.rattanhead.core.Payload;
import org.rattanhead.standin.host.HostListStandin;
import org.rattanhead.standin.service.ServiceStandin;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/**
 * The host list and the faults of stand-ins are set over HTTP.
 */
class StandinApiTests {

	private static final InetSocketAddress ANY_PORT = new InetSocketAddress("127.0.0.1", 0);

	@ParameterizedTest
	@CsvSource(delimiter = '|',
			value = { "{\"hosts\":[]}|200|{\"hosts\":[]}", "{\"hosts\":|400|{\"hosts\":[]}",
					"{\"hosts\":[{\"name\":\"h\",\"role\":\"ENTRY\",\"state\":\"LEAVING\",\"failureDomain\":\"a\","
							+ "\"callerAddress\":\"127.0.0.1:1\",\"peerAddress\":\"127.0.0.1:2\"}]}|200|LEAVING" })
	void replacesHostListOnlyByValidBody(String body, int status, String expectedText) {
		try (HostListStandin hosts = new HostListStandin(ANY_PORT, 0); HttpClient caller = new HttpClient("test", 1)) {
			HttpReply reply = caller.call(HttpCall.post(hosts.address(), "/hosts", Payload.of(body), 5_000)).join();
			assertThat(reply.status()).isEqualTo(status);
			assertThat(caller.call(HttpCall.get(hosts.address(), "/hosts", 5_000)).join().body().text())
				.contains(expectedText);
		}
	}

	@ParameterizedTest(name = "{0}")
	@ValueSource(strings = { "k1", "k2" })
	void losesAnswerAfterRunningOrder(String key) {
		try (ServiceStandin service = new ServiceStandin(ANY_PORT); HttpClient caller = new HttpClient("test", 1)) {
			HttpCall lose = HttpCall.post(service.address(), "/faults/lose-next-answer", Payload.of("{}"), 5_000);
			assertThat(caller.call(lose).join().status()).isEqualTo(200);
			HttpCall order = new HttpCall(service.address(), "POST", "/orders",
					List.of(new HttpField("Idempotency-Key", key)), Payload.of("{}"), 5_000);
			assertThatExceptionOfType(CompletionException.class).isThrownBy(() -> caller.call(order).join());
			assertThat(caller.call(HttpCall.get(service.address(), "/runs", 5_000)).join().body().text())
				.isEqualTo("{\"" + key + "\":1}");
		}
	}

}
