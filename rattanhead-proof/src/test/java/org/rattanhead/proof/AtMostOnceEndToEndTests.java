package org.rattanhead.proof;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

import org.rattanhead.cli.demo.LocalCluster;
import org.rattanhead.client.HttpCall;
import org.rattanhead.client.HttpClient;
import org.rattanhead.client.HttpReply;
import org.rattanhead.core.HttpField;
import org.rattanhead.core.Payload;
import org.rattanhead.standin.log.LogFaults;
import org.rattanhead.standin.service.ServiceStandin;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * An order sent through a cluster of daemons runs at most once, counted at the service.
 */
class AtMostOnceEndToEndTests {

	private LocalCluster cluster;

	private HttpClient caller;

	@BeforeEach
	void start() {
		this.cluster = TestClusters.start();
		this.caller = new HttpClient("test", 1);
	}

	@AfterEach
	void stop() throws Exception {
		this.caller.close();
		this.cluster.close();
	}

	@ParameterizedTest(name = "{0} callers at once")
	@ValueSource(ints = { 1, 30 })
	void runsOrderOnceWhenSentRepeatedly(int callers) {
		List<CompletableFuture<HttpReply>> replies = IntStream.range(0, callers)
			.mapToObj((index) -> sendOrder(index % 3, "k", "{}"))
			.toList();
		replies.forEach(CompletableFuture::join);
		assertThat(runs("k")).isEqualTo(1);
		assertThat(replies.stream().map((reply) -> reply.join().status()).toList()).contains(200)
			.allMatch((status) -> status == 200 || status == 409);
		HttpReply repeated = sendOrder(2, "k", "{}").join();
		assertThat(repeated.status()).isEqualTo(200);
		assertThat(repeated.body().text()).contains("\"run\":1");
		assertThat(runs("k")).isEqualTo(1);
	}

	static Stream<Arguments> faults() {
		return Stream.of(
				Arguments.of("each service loses its next answer", 502, "outcome-unknown", 1,
						fault((test) -> test.services().forEach(ServiceStandin::loseNextAnswer))),
				Arguments.of("the log service is unavailable", 503, "claims-unavailable", 0,
						fault((test) -> test.cluster.log().setFaults(new LogFaults(true, false, 0)))),
				Arguments.of("the log service loses its answers", 200, "", 1,
						fault((test) -> test.cluster.log().setFaults(new LogFaults(false, true, 0)))),
				Arguments.of("one daemon has stopped", 200, "", 1,
						fault((test) -> test.cluster.daemons().get(test.cluster.hosts().get(1).name()).close())));
	}

	@ParameterizedTest(name = "{0}")
	@MethodSource("faults")
	void reportsOutcomeUnderFault(String name, int status, String type, int runs,
			Consumer<AtMostOnceEndToEndTests> fault) {
		fault.accept(this);
		HttpReply reply = sendOrder(0, "k", "{}").join();
		assertThat(reply.status()).isEqualTo(status);
		assertThat(reply.body().text()).contains(type);
		assertThat(reply.body().text().contains("not-run")).isEqualTo(runs == 0);
		assertThat(runs("k")).isEqualTo(runs);
		this.cluster.log().setFaults(LogFaults.NONE);
		HttpReply retried = sendOrder(2, "k", "{}").join();
		assertThat(retried.status()).as(retried.body().text()).isEqualTo((status == 502) ? 409 : 200);
		assertThat(runs("k")).isEqualTo(1);
	}

	@ParameterizedTest
	@ValueSource(strings = { "{\"plumes\":12}" })
	void rejectsKeyReusedForDifferentOrder(String differentBody) {
		assertThat(sendOrder(0, "k", "{}").join().status()).isEqualTo(200);
		HttpReply reply = sendOrder(1, "k", differentBody).join();
		assertThat(reply.status()).isEqualTo(422);
		assertThat(reply.body().text()).contains("key-reused", "not-run");
		assertThat(runs("k")).isEqualTo(1);
	}

	private Stream<ServiceStandin> services() {
		return this.cluster.fleet().services().values().stream();
	}

	private int runs(String key) {
		return services().mapToInt((service) -> service.runs(key)).sum();
	}

	private CompletableFuture<HttpReply> sendOrder(int daemon, String key, String body) {
		return this.caller.call(new HttpCall(this.cluster.addresses().get(daemon), "POST", "/services/orders/orders",
				List.of(new HttpField("Authorization", "Bearer " + TestClusters.KEY),
						new HttpField("Idempotency-Key", key)),
				Payload.of(body), 20_000));
	}

	private static Consumer<AtMostOnceEndToEndTests> fault(Consumer<AtMostOnceEndToEndTests> fault) {
		return fault;
	}

}
