package org.rattanhead.decision.holder;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

import org.rattanhead.core.catalogue.CatalogueEntry;
import org.rattanhead.core.catalogue.FailureDomainState;
import org.rattanhead.core.problem.Execution;
import org.rattanhead.core.problem.Problem;
import org.rattanhead.core.problem.ProblemKind;
import org.rattanhead.core.upstream.UpstreamLoad;
import org.rattanhead.core.work.SubmitWork;
import org.rattanhead.core.work.WorkEnded;
import org.rattanhead.core.work.WorkFailed;
import org.rattanhead.decision.CatalogueView;
import org.rattanhead.decision.Fixtures;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link HolderDecider}.
 */
class HolderDeciderTests {

	private static final long LATE_DEADLINE_NANOS = 100 * Fixtures.SECOND;

	private final HolderDecider decider = new HolderDecider("da");

	private final List<HolderCommand> commands = new ArrayList<>();

	private void apply(HolderEvent event, long nowNanos) {
		this.commands.addAll(this.decider.decide(event, nowNanos));
	}

	private void applyCatalogueAndMembers() {
		apply(new HolderCatalogueChanged(Fixtures.view()), 0);
		apply(new HolderMembersChanged(Fixtures.hosts(), Fixtures.noLeavingUpstreams()), 0);
	}

	private void submit(String id, int priority, int promptTokens) {
		apply(new OrderReceived("db",
				new SubmitWork("e1", Fixtures.work(id, priority, promptTokens, LATE_DEADLINE_NANOS))), 0);
	}

	private void reportWarm(long nowNanos) {
		apply(new LoadReported("e1", new UpstreamLoad("boot", false, 0, 0, 0)), nowNanos);
	}

	private List<String> dispatched() {
		return this.commands.stream()
			.filter(CallUpstream.class::isInstance)
			.map((command) -> ((CallUpstream) command).work().attempt().request().value())
			.toList();
	}

	private List<Problem> failures() {
		return this.commands.stream()
			.filter(SendSignal.class::isInstance)
			.map((command) -> ((SendSignal) command).signal())
			.filter(WorkFailed.class::isInstance)
			.map((signal) -> ((WorkFailed) signal).problem())
			.toList();
	}

	@ParameterizedTest(name = "warm: {0}")
	@ValueSource(booleans = { true, false })
	void dispatchesNoMoreThanTheConcurrencyLimit(boolean isWarm) {
		applyCatalogueAndMembers();
		if (isWarm) {
			reportWarm(0);
		}
		for (int index = 0; index < 9; index++) {
			submit("r" + index, 0, 10);
		}
		assertThat(dispatched()).hasSize(isWarm ? 4 : 1);
	}

	@ParameterizedTest(name = "report after {0} ms")
	@ValueSource(longs = { 0, 500, 1_999, 2_000, 3_000 })
	void ignoresLoadReportsForTwoSecondsAfterADisruption(long afterMillis) {
		applyCatalogueAndMembers();
		reportWarm(0);
		submit("broken", 0, 10);
		Problem problem = Problem.unknown(ProblemKind.UPSTREAM_FAILED, "broken");
		apply(new UpstreamSignal("e1", new WorkFailed(Fixtures.attempt("broken", 1), problem), true), Fixtures.SECOND);
		reportWarm(Fixtures.SECOND + afterMillis * Fixtures.MILLI);
		this.commands.clear();
		for (int index = 0; index < 9; index++) {
			submit("r" + index, 0, 10);
		}
		assertThat(dispatched()).hasSize((afterMillis >= 2_000) ? 4 : 1);
	}

	@ParameterizedTest(name = "prompt of {0}")
	@ValueSource(ints = { 5_000, 9_990, 15_000 })
	void dispatchesNoMoreThanFitsInMemory(int promptTokens) {
		applyCatalogueAndMembers();
		reportWarm(0);
		for (int index = 0; index < 4; index++) {
			submit("r" + index, 0, promptTokens);
		}
		assertThat(dispatched()).hasSize(20_000 / (promptTokens + 10));
	}

	@ParameterizedTest(name = "{0}")
	@MethodSource("orders")
	void dispatchesByPriorityThenPromptLengthThenArrival(String name, int firstPriority, int firstTokens,
			int secondPriority, int secondTokens, String next) {
		applyCatalogueAndMembers();
		submit("running", 0, 10);
		submit("first", firstPriority, firstTokens);
		submit("second", secondPriority, secondTokens);
		apply(new UpstreamSignal("e1", new WorkEnded(Fixtures.attempt("running", 1)), false), 1);
		assertThat(dispatched()).containsExactly("running", next);
	}

	static Stream<Arguments> orders() {
		return Stream.of(Arguments.of("higher priority first", 10, 10, 0, 5_000, "second"),
				Arguments.of("shorter prompt first", 0, 5_000, 0, 10, "second"),
				Arguments.of("earlier arrival first", 0, 10, 0, 10, "first"));
	}

	static Stream<Arguments> withdrawals() {
		List<CatalogueEntry> out = new ArrayList<>(Fixtures.baseEntries());
		out.add(Fixtures.domain("a", FailureDomainState.OUT));
		List<CatalogueEntry> removed = new ArrayList<>(Fixtures.baseEntries());
		removed.removeIf((entry) -> entry.name().equals("e1"));
		return Stream.of(
				Arguments.of("failure domain out",
						new HolderCatalogueChanged(new CatalogueView(Fixtures.catalogue(out)))),
				Arguments.of("upstream removed",
						new HolderCatalogueChanged(new CatalogueView(Fixtures.catalogue(removed)))),
				Arguments.of("upstream leaving", new HolderMembersChanged(Fixtures.hosts(), Set.of("e1"))),
				Arguments.of("lease moved", new HolderMembersChanged(List.of(Fixtures.entryHost("db", "b")), Set.of())),
				Arguments.of("shutdown", new HolderShutdown()));
	}

	@ParameterizedTest(name = "{0}")
	@MethodSource("withdrawals")
	void returnsWaitingWorkAndFinishesRunningWork(String name, HolderEvent withdrawal) {
		applyCatalogueAndMembers();
		submit("running", 0, 10);
		submit("waiting", 0, 10);
		apply(withdrawal, 1);
		submit("late", 0, 10);
		assertThat(dispatched()).containsExactly("running");
		assertThat(failures()).hasSize(2).allMatch((problem) -> problem.execution() == Execution.NOT_RUN);
		apply(new UpstreamSignal("e1", new WorkEnded(Fixtures.attempt("running", 1)), false), 2);
		assertThat(this.commands).anyMatch((command) -> command instanceof SendSignal send
				&& send.signal().equals(new WorkEnded(Fixtures.attempt("running", 1))));
	}

	@ParameterizedTest(name = "running: {0}")
	@ValueSource(booleans = { true, false })
	void reportsWhetherWorkRanAtTheDeadline(boolean running) {
		applyCatalogueAndMembers();
		submit("before", 0, 10);
		apply(new OrderReceived("db", new SubmitWork("e1", Fixtures.work("r", 0, 10, Fixtures.SECOND))), 0);
		if (running) {
			apply(new UpstreamSignal("e1", new WorkEnded(Fixtures.attempt("before", 1)), false), 1);
		}
		apply(new HolderTick(), Fixtures.SECOND);
		assertThat(failures()).extracting(Problem::execution)
			.containsExactly(running ? Execution.FAILED : Execution.NOT_RUN);
		assertThat(this.commands.stream().filter(AbortCall.class::isInstance)).hasSize(running ? 1 : 0);
	}

	@ParameterizedTest(name = "{0}")
	@ValueSource(strings = { "never sent", "already ended" })
	void dropsSignalsForAttemptsThatAreNotRunning(String name) {
		applyCatalogueAndMembers();
		submit("r", 0, 10);
		apply(new UpstreamSignal("e1", new WorkEnded(Fixtures.attempt("r", 1)), false), 1);
		this.commands.clear();
		String id = name.startsWith("never") ? "other" : "r";
		apply(new UpstreamSignal("e1", new WorkEnded(Fixtures.attempt(id, 1)), false), 2);
		assertThat(this.commands).containsExactly(new CountHolderEvent(HolderMetric.DROPPED_SIGNAL, "e1"));
	}

}
