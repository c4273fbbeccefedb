package org.rattanhead.decision.edge;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.Consumer;
import java.util.stream.Stream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

import org.rattanhead.core.Payload;
import org.rattanhead.core.problem.Execution;
import org.rattanhead.core.problem.Problem;
import org.rattanhead.core.problem.ProblemKind;
import org.rattanhead.core.request.CallerRequest;
import org.rattanhead.core.request.RequestId;
import org.rattanhead.core.request.Target;
import org.rattanhead.core.request.TargetKind;
import org.rattanhead.core.work.CancelWork;
import org.rattanhead.core.work.SubmitWork;
import org.rattanhead.core.work.WorkChunk;
import org.rattanhead.core.work.WorkEnded;
import org.rattanhead.core.work.WorkFailed;
import org.rattanhead.core.work.WorkStarted;
import org.rattanhead.decision.Fixtures;
import org.rattanhead.decision.placement.PlacementPolicies;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link EdgeDecider}.
 */
class EdgeDeciderTests {

	private final EdgeDecider decider = new EdgeDecider(PlacementPolicies.leastWork(), new Random(1));

	private final List<EdgeCommand> commands = new ArrayList<>();

	private void on(EdgeEvent event, long nowNanos) {
		this.commands.addAll(this.decider.decide(event, nowNanos));
	}

	private void loadCatalogueAndMembers() {
		on(new EdgeCatalogueChanged(Fixtures.view()), 0);
		on(new EdgeMembersChanged(Fixtures.hosts(), Fixtures.noLeavingUpstreams()), 0);
	}

	private SendOrder lastOrder() {
		return last(SendOrder.class);
	}

	private <T> T last(Class<T> type) {
		return this.commands.stream()
			.filter(type::isInstance)
			.map(type::cast)
			.reduce((before, after) -> after)
			.orElseThrow();
	}

	static Stream<Arguments> refusals() {
		Target unknown = new Target(TargetKind.MODEL, "other");
		Target unknownService = new Target(TargetKind.SERVICE, "other");
		return Stream.of(Arguments.of(ProblemKind.UNKNOWN_MODEL, Fixtures.request("r", unknown, 10, 0, "")),
				Arguments.of(ProblemKind.UNKNOWN_SERVICE, Fixtures.request("r", unknownService, 0, 0, "")),
				Arguments.of(ProblemKind.PROMPT_TOO_LONG, Fixtures.request("r", 10_001)),
				Arguments.of(ProblemKind.INVALID_DEADLINE, Fixtures.request("r", Fixtures.MODEL, 10, 60_001, "")),
				Arguments.of(ProblemKind.INVALID_DEADLINE, Fixtures.request("r", Fixtures.MODEL, 10, -1, "")),
				Arguments.of(ProblemKind.MISSING_IDEMPOTENCY_KEY, Fixtures.request("r", Fixtures.SERVICE, 0, 0, "")),
				Arguments.of(ProblemKind.UNAUTHORIZED, new CallerRequest(new RequestId("r"), "", Fixtures.MODEL,
						Fixtures.call("/"), 1, 1, 0, "", "")));
	}

	@ParameterizedTest(name = "{0}")
	@MethodSource("refusals")
	void refusesWithoutRunning(ProblemKind kind, CallerRequest request) {
		loadCatalogueAndMembers();
		on(new RequestSubmitted(request), 0);
		Problem problem = last(SendProblem.class).problem();
		assertThat(problem.kind()).isEqualTo(kind);
		assertThat(problem.execution()).isEqualTo(Execution.NOT_RUN);
		assertThat(this.commands).noneMatch(SendOrder.class::isInstance);
	}

	static Stream<Arguments> unreadyStates() {
		return Stream.of(
				Arguments.of(ProblemKind.CATALOGUE_UNAVAILABLE,
						(Consumer<EdgeDeciderTests>) (test) -> test
							.on(new EdgeMembersChanged(Fixtures.hosts(), Fixtures.noLeavingUpstreams()), 0)),
				Arguments.of(ProblemKind.NO_UPSTREAM,
						(Consumer<EdgeDeciderTests>) (test) -> test.on(new EdgeCatalogueChanged(Fixtures.view()), 0)),
				Arguments.of(ProblemKind.SHUTTING_DOWN, (Consumer<EdgeDeciderTests>) (test) -> {
					test.loadCatalogueAndMembers();
					test.on(new EdgeShutdown(), 0);
				}));
	}

	@ParameterizedTest(name = "{0}")
	@MethodSource("unreadyStates")
	void refusesWhileUnready(ProblemKind kind, Consumer<EdgeDeciderTests> state) {
		state.accept(this);
		on(new RequestSubmitted(Fixtures.request("r", 10)), 0);
		assertThat(last(SendProblem.class).problem().kind()).isEqualTo(kind);
	}

	@ParameterizedTest(name = "failure {0}")
	@EnumSource(Execution.class)
	void retriesOnAnotherUpstreamBeforeTheFirstToken(Execution execution) {
		loadCatalogueAndMembers();
		on(new RequestSubmitted(Fixtures.request("r", 10)), 0);
		SendOrder first = lastOrder();
		on(failed(first, execution), 1);
		SendOrder second = lastOrder();
		assertThat(second.order().attempt().number()).isEqualTo(2);
		assertThat(((SubmitWork) second.order()).upstream()).isNotEqualTo(((SubmitWork) first.order()).upstream());
		on(failed(second, execution), 2);
		assertThat(last(SendProblem.class).problem().execution()).isEqualTo(execution);
	}

	@ParameterizedTest(name = "failure {0}")
	@EnumSource(Execution.class)
	void neverRetriesOnceTheAnswerHasStarted(Execution execution) {
		loadCatalogueAndMembers();
		on(new RequestSubmitted(Fixtures.request("r", 10)), 0);
		SendOrder first = lastOrder();
		on(new SignalReceived(first.toHost(), new WorkStarted(first.order().attempt(), "e1", 200, "text")), 1);
		on(failed(first, execution), 2);
		assertThat(last(AbortAnswer.class).problem().execution()).isEqualTo(Execution.FAILED);
		assertThat(this.commands.stream().filter(SendOrder.class::isInstance)).hasSize(1);
	}

	/** Guards against LOST: a connection that is closed without a final answer. */
	@ParameterizedTest(name = "answer started: {0}")
	@ValueSource(booleans = { false, true })
	void givesEveryRequestItsFinalAnswerAtTheEndOfAShutdown(boolean answerStarted) {
		loadCatalogueAndMembers();
		on(new RequestSubmitted(Fixtures.request("r", 10)), 0);
		SendOrder order = lastOrder();
		if (answerStarted) {
			on(new SignalReceived(order.toHost(), new WorkStarted(order.order().attempt(), "e1", 200, "text")), 1);
		}
		on(new EdgeShutdown(), 2);
		on(new EdgeGraceEnded(), 3);
		assertThat(this.commands.stream().filter(AbortAnswer.class::isInstance)).hasSize(answerStarted ? 1 : 0);
		assertThat(this.commands.stream().filter(SendProblem.class::isInstance)).hasSize(answerStarted ? 0 : 1);
		assertThat(lastOrder().order()).isEqualTo(new CancelWork(order.order().attempt()));
		assertThat(this.commands).anyMatch(EdgeDrained.class::isInstance);
	}

	static Stream<Arguments> unexpectedSignals() {
		return Stream.of(Arguments.of("another attempt", "r", 2, true), Arguments.of("another request", "q", 1, true),
				Arguments.of("another daemon", "r", 1, false));
	}

	@ParameterizedTest(name = "{0}")
	@MethodSource("unexpectedSignals")
	void dropsSignalsThatMatchNoCurrentAttempt(String name, String id, int number, boolean sameHost) {
		loadCatalogueAndMembers();
		on(new RequestSubmitted(Fixtures.request("r", 10)), 0);
		String host = lastOrder().toHost();
		on(new SignalReceived(sameHost ? host : "other", new WorkChunk(Fixtures.attempt(id, number), Payload.of("x"))),
				1);
		assertThat(this.commands).noneMatch(WriteAnswer.class::isInstance);
		assertThat(last(CountEdgeEvent.class).metric()).isEqualTo(EdgeMetric.DROPPED_SIGNAL);
	}

	@ParameterizedTest(name = "answering: {0}")
	@MethodSource("flags")
	void endsEveryRequestAtItsDeadline(boolean answering) {
		loadCatalogueAndMembers();
		on(new RequestSubmitted(Fixtures.request("r", Fixtures.MODEL, 10, 100, "")), 0);
		SendOrder order = lastOrder();
		if (answering) {
			on(new SignalReceived(order.toHost(), new WorkStarted(order.order().attempt(), "e1", 200, "text")), 1);
		}
		on(new EdgeTick(), 99 * Fixtures.MILLI);
		assertThat(this.commands).noneMatch((command) -> command instanceof SendProblem);
		on(new EdgeTick(), 100 * Fixtures.MILLI);
		assertThat(this.commands)
			.anyMatch((command) -> answering ? command instanceof AbortAnswer : command instanceof SendProblem);
		assertThat(last(SendOrder.class).order().attempt()).isEqualTo(order.order().attempt());
	}

	@ParameterizedTest(name = "another upstream available: {0}")
	@MethodSource("flags")
	void retriesOrRefusesRequestsOfLostDaemons(boolean otherAvailable) {
		loadCatalogueAndMembers();
		if (!otherAvailable) {
			on(new EdgeMembersChanged(List.of(Fixtures.entryHost("da", "a")), Fixtures.noLeavingUpstreams()), 0);
		}
		on(new RequestSubmitted(Fixtures.request("r", 10)), 0);
		SendOrder order = lastOrder();
		on(new EdgeMembersChanged(otherAvailable ? Fixtures.hosts() : List.of(), Fixtures.noLeavingUpstreams()), 1);
		on(new PeerLost(order.toHost()), 2);
		assertThat(this.commands.stream().filter(SendProblem.class::isInstance).count())
			.isEqualTo(otherAvailable ? 0 : 1);
		assertThat(lastOrder().order().attempt().number()).isEqualTo(otherAvailable ? 2 : 1);
	}

	static Stream<Boolean> flags() {
		return Stream.of(true, false);
	}

	@ParameterizedTest(name = "{0} requests")
	@MethodSource("counts")
	void enforcesTheWorkspaceLimit(int count) {
		loadCatalogueAndMembers();
		for (int index = 0; index < count; index++) {
			on(new RequestSubmitted(Fixtures.request("r" + index, 10)), 0);
		}
		assertThat(this.commands.stream().filter(SendOrder.class::isInstance)).hasSize(Math.min(4, count));
		SendOrder order = lastOrder();
		on(new SignalReceived(order.toHost(), new WorkEnded(order.order().attempt())), 1);
		on(new RequestSubmitted(Fixtures.request("again", 10)), 2);
		assertThat(lastOrder().order().attempt().request().value()).isEqualTo("again");
	}

	static Stream<Integer> counts() {
		return Stream.of(1, 4, 9);
	}

	private static SignalReceived failed(SendOrder order, Execution execution) {
		Problem problem = new Problem(ProblemKind.UPSTREAM_FAILED, execution, "test", 0);
		return new SignalReceived(order.toHost(), new WorkFailed(order.order().attempt(), problem));
	}

}
