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
	void usesFailureDomainOnlyInStateIn(FailureDomainState state) {
		AuditRecord audit = publish("ana", state, offset());
		awaitOffsetOnAllDaemons(audit.offset());
		long before = finishedInBraga();
		IntStream.range(0, 40).forEach((index) -> assertThat(sendCompletion(index).status()).isEqualTo(200));
		assertThat(finishedInBraga() > before).isEqualTo(state == FailureDomainState.IN);
	}

	@ParameterizedTest(name = "{0} concurrent operators")
	@ValueSource(ints = { 2, 5 })
	void acceptsOneOfConcurrentConflictingEdits(int operators) {
		long baseOffset = offset();
		List<CompletableFuture<AuditRecord>> pendingAudits = IntStream.range(0, operators)
			.mapToObj((index) -> this.cluster.catalogueClient()
				.publish(edit("operator" + index, FailureDomainState.OUT, baseOffset)))
			.toList();
		List<AuditRecord> audits = pendingAudits.stream().map(CompletableFuture::join).toList();
		assertThat(audits.stream().filter((audit) -> audit.verdict().accepted())).hasSize(1);
		awaitOffsetOnAllDaemons(audits.stream().mapToLong(AuditRecord::offset).max().orElseThrow());
		assertThat(statusPages().map((page) -> page.replaceAll(".*(\"failureDomains\":\\[[^]]*]).*", "$1")).distinct())
			.hasSize(1)
			.allMatch((domains) -> domains.contains("OUT"));
	}

	@ParameterizedTest(name = "{0} requests")
	@ValueSource(ints = { 30 })
	void servesRequestsWhileLogServiceIsUnavailable(int requests) {
		this.cluster.log().setFaults(new LogFaults(true, false, 0));
		IntStream.range(0, requests).forEach((index) -> assertThat(sendCompletion(index).status()).isEqualTo(200));
		this.cluster.log().setFaults(LogFaults.NONE);
		awaitOffsetOnAllDaemons(publish("ana", FailureDomainState.OUT, offset()).offset());
	}

	private HttpReply sendCompletion(int index) {
		return this.caller.call(new HttpCall(this.cluster.addresses().get(index % 3), "POST", "/v1/chat/completions",
				List.of(new HttpField("Authorization", "Bearer " + TestClusters.KEY)),
				Payload.of("{\"model\":\"" + TestClusters.MODEL + "\",\"max_tokens\":2,\"prompt\":\"hello\"}"), 20_000))
			.join();
	}

	private long offset() {
		FailureDomainEntry braga = braga(FailureDomainState.IN);
		return this.cluster.catalogueClient().load().join().catalogue().offsetOf(braga.key());
	}

	private AuditRecord publish(String author, FailureDomainState state, long baseOffset) {
		AuditRecord audit = this.cluster.catalogueClient().publish(edit(author, state, baseOffset)).join();
		assertThat(audit.verdict().accepted()).isTrue();
		return audit;
	}

	private static CatalogueEdit edit(String author, FailureDomainState state, long baseOffset) {
		FailureDomainEntry braga = braga(state);
		return new CatalogueEdit(author + "-" + state, author, 0, "test",
				List.of(new EntryChange(braga.key(), baseOffset, Optional.of(braga))));
	}

	private static FailureDomainEntry braga(FailureDomainState state) {
		return new FailureDomainEntry("braga", "operations", "norte-pt", state);
	}

	private void awaitOffsetOnAllDaemons(long offset) {
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
