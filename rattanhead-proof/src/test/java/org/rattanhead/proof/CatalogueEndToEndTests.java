package org.rattanhead.proof;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

import org.rattanhead.cli.demo.LocalCluster;
import org.rattanhead.client.HttpCall;
import org.rattanhead.client.HttpClient;
import org.rattanhead.client.HttpReply;
import org.rattanhead.core.HttpField;
import org.rattanhead.core.Payload;
import org.rattanhead.core.catalogue.AuditRecord;
import org.rattanhead.core.catalogue.Catalogue;
import org.rattanhead.core.catalogue.CatalogueEdit;
import org.rattanhead.core.catalogue.EntryChange;
import org.rattanhead.core.catalogue.FailureDomainEntry;
import org.rattanhead.core.catalogue.FailureDomainState;
import org.rattanhead.standin.log.LogFaults;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Catalogue edits take effect on running daemons.
 */
class CatalogueEndToEndTests {

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

	@ParameterizedTest(name = "braga {0}")
	@EnumSource(FailureDomainState.class)
	void takesAFailureDomainOut(FailureDomainState state) {
		AuditRecord audit = publish("ana", state, offset());
		awaitEverywhere(audit.offset());
		long before = finishedInBraga();
		IntStream.range(0, 40).forEach((number) -> assertThat(ask(number).status()).isEqualTo(200));
		assertThat(finishedInBraga() > before).isEqualTo(state == FailureDomainState.IN);
	}

	@ParameterizedTest(name = "{0} concurrent operators")
	@ValueSource(ints = { 2, 5 })
	void givesRacingOperatorsOneWinner(int operators) {
		long base = offset();
		List<CompletableFuture<AuditRecord>> races = IntStream.range(0, operators)
			.mapToObj((number) -> this.cluster.catalogueClient()
				.publish(edit("operator" + number, FailureDomainState.OUT, base)))
			.toList();
		List<AuditRecord> audits = races.stream().map(CompletableFuture::join).toList();
		assertThat(audits.stream().filter((audit) -> audit.verdict().accepted())).hasSize(1);
		awaitEverywhere(audits.stream().mapToLong(AuditRecord::offset).max().orElseThrow());
		assertThat(statusPages().map((page) -> page.replaceAll(".*(\"failureDomains\":\\[[^]]*]).*", "$1")).distinct())
			.hasSize(1)
			.allMatch((domains) -> domains.contains("OUT"));
	}

	@ParameterizedTest(name = "{0} requests")
	@ValueSource(ints = { 30 })
	void servesWhileTheLogIsDown(int requests) {
		this.cluster.log().faults(new LogFaults(true, false, 0));
		IntStream.range(0, requests).forEach((number) -> assertThat(ask(number).status()).isEqualTo(200));
		this.cluster.log().faults(LogFaults.NONE);
		awaitEverywhere(publish("ana", FailureDomainState.OUT, offset()).offset());
	}

	private HttpReply ask(int number) {
		return this.caller.call(new HttpCall(this.cluster.addresses().get(number % 3), "POST", "/v1/chat/completions",
				List.of(new HttpField("Authorization", "Bearer " + TestClusters.KEY)),
				Payload.of("{\"model\":\"" + TestClusters.MODEL + "\",\"max_tokens\":2,\"prompt\":\"hello\"}"), 20_000))
			.join();
	}

	private long offset() {
		FailureDomainEntry braga = braga(FailureDomainState.IN);
		return this.cluster.catalogueClient().load().join().catalogue().offsetOf(braga.key());
	}

	private AuditRecord publish(String author, FailureDomainState state, long base) {
		AuditRecord audit = this.cluster.catalogueClient().publish(edit(author, state, base)).join();
		assertThat(audit.verdict().accepted()).isTrue();
		return audit;
	}

	private static CatalogueEdit edit(String author, FailureDomainState state, long base) {
		FailureDomainEntry braga = braga(state);
		return new CatalogueEdit(author + "-" + state, author, 0, "test",
				List.of(new EntryChange(braga.key(), base, Optional.of(braga))));
	}

	private static FailureDomainEntry braga(FailureDomainState state) {
		return new FailureDomainEntry("braga", "operations", "norte-pt", state);
	}

	private void awaitEverywhere(long offset) {
		assertThat(offset).isGreaterThan(Catalogue.NO_OFFSET);
		LocalCluster.await("the edit is not in force on every daemon",
				() -> statusPages().allMatch((page) -> page.contains("\"catalogueOffset\":" + offset + ",")));
	}

	private Stream<String> statusPages() {
		return this.cluster.addresses()
			.stream()
			.map((address) -> this.caller.call(HttpCall.get(address, "/status", 5_000)).join().body().text());
	}

	private long finishedInBraga() {
		return Stream.of("braga-engine-1", "braga-engine-2")
			.mapToLong((engine) -> this.cluster.fleet().engines().get(engine).counts().finished())
			.sum();
	}

}
