package org.rattanhead.decision.forward;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

import org.rattanhead.core.forward.AnswerVerdict;
import org.rattanhead.core.forward.AttemptFault;
import org.rattanhead.core.forward.ForwardCall;
import org.rattanhead.core.problem.Execution;
import org.rattanhead.core.problem.ProblemKind;
import org.rattanhead.core.request.AttemptId;
import org.rattanhead.core.request.RequestId;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Replies to callers and calls to instances for each way in which an attempt ends.
 */
class ForwardDeciderTests {

	@ParameterizedTest(name = "{0} {1}: {2}")
	@CsvSource({ "/none/, key, UNKNOWN_PATH", "/ask/, other, UNAUTHORIZED", "/ask/, '', UNAUTHORIZED" })
	void refusesRequestNotAllowedByConfiguration(String path, String key, ProblemKind kind) {
		ForwardRig rig = ForwardRig.configured(2, 2);
		rig.submit(path, 0, key, 1);
		assertThat(rig.last(RefuseRequest.class).problem().kind()).isEqualTo(kind);
		assertThat(rig.all(CallInstance.class)).isEmpty();
	}

	@ParameterizedTest
	@ValueSource(strings = { "/ask/", "/order/", "/look/" })
	void refusesAsNotRunBeforeFirstConfiguration(String path) {
		ForwardRig rig = new ForwardRig();
		rig.submit(path);
		assertThat(rig.last(RefuseRequest.class).problem().kind()).isEqualTo(ProblemKind.CATALOGUE_UNAVAILABLE);
		assertThat(rig.last(RefuseRequest.class).problem().execution()).isEqualTo(Execution.NOT_RUN);
	}

	@ParameterizedTest(name = "from {0} to {1}: {2} is in force")
	@CsvSource({ "5, 6, 6", "5, 5, 5", "6, 5, 6", "9, 2, 9" })
	void ignoresOlderConfiguration(long first, long second, long inForce) {
		ForwardRig rig = new ForwardRig();
		rig.handle(new ConfigurationApplied(ForwardRig.configuration(first)));
		rig.handle(new ConfigurationApplied(ForwardRig.configuration(second)));
		rig.handle(new HeartbeatDue());
		assertThat(rig.last(PublishHeartbeat.class).configurationVersion()).isEqualTo(inForce);
	}

	static Stream<Arguments> attemptFaults() {
		return Stream.of(Arguments.of("/look/", AttemptFault.NOT_SENT, 2, Execution.NOT_RUN),
				Arguments.of("/look/", AttemptFault.BROKEN, 2, Execution.FAILED),
				Arguments.of("/look/", AttemptFault.TIMED_OUT, 2, Execution.FAILED),
				Arguments.of("/order/", AttemptFault.NOT_SENT, 2, Execution.NOT_RUN),
				Arguments.of("/order/", AttemptFault.BROKEN, 1, Execution.UNKNOWN),
				Arguments.of("/order/", AttemptFault.TIMED_OUT, 1, Execution.UNKNOWN));
	}

	@ParameterizedTest(name = "{0} {1}")
	@MethodSource("attemptFaults")
	void retriesOnlyWhenRepeatIsSafe(String path, AttemptFault fault, int calls, Execution execution) {
		ForwardRig rig = ForwardRig.configured(0, 2);
		rig.submit(path);
		rig.failAttempt(rig.lastAttempt(), fault);
		if (calls > 1) {
			assertThat(rig.all(RefuseRequest.class)).isEmpty();
			rig.failAttempt(rig.lastAttempt(), fault);
		}
		assertThat(rig.all(CallInstance.class)).hasSize(calls);
		assertThat(rig.last(RefuseRequest.class).problem().execution()).isEqualTo(execution);
	}

	@ParameterizedTest(name = "{0} after {1}")
	@CsvSource({ "/order/, NOT_RUN", "/order/, WRONG_INSTANCE", "/look/, NOT_RUN", "/look/, WRONG_INSTANCE" })
	void retriesOnAnotherInstanceAfterNotRunResponse(String path, AnswerVerdict verdict) {
		ForwardRig rig = ForwardRig.configured(0, 2);
		rig.submit(path);
		String first = rig.lastCall().call().instance().id();
		rig.answer(rig.lastAttempt(), 503, verdict, false);
		assertThat(rig.lastCall().call().instance().id()).isNotEqualTo(first);
		rig.answer(rig.lastAttempt(), 503, verdict, false);
		assertThat(rig.last(RefuseRequest.class).problem().execution()).isEqualTo(Execution.NOT_RUN);
		assertThat(rig.last(RefuseRequest.class).problem().retryAfterMillis()).isPositive();
	}

	@ParameterizedTest(name = "{0} status {1}: {2} calls")
	@CsvSource({ "/look/, 500, 2", "/look/, 404, 1", "/order/, 500, 1", "/order/, 200, 1" })
	void relaysCompleteResponse(String path, int status, int calls) {
		ForwardRig rig = ForwardRig.configured(0, 3);
		rig.submit(path);
		for (int call = 0; call < calls; call++) {
			rig.answer(rig.lastAttempt(), status, AnswerVerdict.RUN, false);
		}
		rig.bytes(rig.lastAttempt(), "answer");
		assertThat(rig.all(BeginReply.class)).as("replies before the response is complete").isEmpty();
		rig.finish(rig.lastAttempt());
		assertThat(rig.all(CallInstance.class)).hasSize(calls);
		assertThat(rig.last(BeginReply.class).status()).isEqualTo(status);
		assertThat(rig.last(BeginReply.class).lengthBytes()).isEqualTo("answer".length());
		assertThat(rig.replied()).isEqualTo("answer");
		assertThat(rig.all(FinishReply.class)).hasSize(1);
	}

	@ParameterizedTest
	@ValueSource(strings = { "/look/", "/order/" })
	void discardsResponseToAnotherAttempt(String path) {
		ForwardRig rig = ForwardRig.configured(0, 1);
		rig.submit(path);
		AttemptId attempt = rig.lastAttempt();
		rig.answer(attempt, 200, AnswerVerdict.CROSSED, false);
		rig.bytes(attempt, "of another");
		rig.finish(attempt);
		assertThat(rig.all(BeginReply.class)).isEmpty();
		assertThat(rig.all(AbortAttempt.class)).hasSize(1);
		assertThat(rig.last(RefuseRequest.class).problem().execution()).isNotEqualTo(Execution.NOT_RUN);
	}

	@ParameterizedTest
	@EnumSource(value = AttemptFault.class, names = { "BROKEN", "TIMED_OUT" })
	void resumesStreamAfterLastCompleteEvent(AttemptFault fault) {
		ForwardRig rig = ForwardRig.configured(2, 0);
		rig.submit("/ask/", 5_000, ForwardRig.KEY, 1);
		AttemptId first = rig.lastAttempt();
		rig.answer(first, 200, AnswerVerdict.RUN, true);
		rig.bytes(first, "id: 1\ndata: a\n\nid: 2\nda");
		rig.failAttempt(first, fault);
		assertThat(rig.lastCall().call().resumeAfter()).contains("1");
		AttemptId second = rig.lastAttempt();
		rig.answer(second, 200, AnswerVerdict.RUN, true);
		rig.bytes(first, "ta: late\n\n");
		rig.bytes(second, "id: 2\ndata: b\n\n");
		rig.finish(second);
		assertThat(rig.replied()).isEqualTo("id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
		assertThat(rig.all(BeginReply.class)).hasSize(1);
		assertThat(rig.all(FinishReply.class)).hasSize(1);
	}

	@ParameterizedTest(name = "{0} attempts")
	@ValueSource(ints = { 2 })
	void abortsReplyWhenStreamCannotResume(int attempts) {
		ForwardRig rig = ForwardRig.configured(3, 0);
		rig.submit("/ask/", 5_000, ForwardRig.KEY, 1);
		for (int attempt = 0; attempt < attempts; attempt++) {
			rig.answer(rig.lastAttempt(), 200, AnswerVerdict.RUN, true);
			rig.bytes(rig.lastAttempt(), "id: " + attempt + "\ndata: a\n\nid: 9\n");
			rig.finish(rig.lastAttempt());
		}
		assertThat(rig.all(CallInstance.class)).hasSize(attempts);
		assertThat(rig.all(AbortReply.class)).hasSize(1);
		assertThat(rig.all(FinishReply.class)).isEmpty();
	}

	@ParameterizedTest(name = "{0}")
	@ValueSource(strings = { "/ask/", "/look/", "/order/" })
	void abortsAttemptOfDisconnectedCaller(String path) {
		ForwardRig rig = ForwardRig.configured(2, 2);
		rig.handle(new ForwardCallerDisconnected(rig.submit(path)));
		assertThat(rig.all(AbortAttempt.class)).hasSize(1);
		assertThat(rig.last(PublishLoadEnded.class).keys()).hasSize(1);
		rig.handle(new HeartbeatDue());
		assertThat(rig.last(PublishHeartbeat.class).load()).isEmpty();
	}

	@ParameterizedTest(name = "{0}: {1}")
	@CsvSource({ "/order/, DEADLINE_EXCEEDED", "/ask/, DEADLINE_EXCEEDED" })
	void failsRequestAtDeadline(String path, ProblemKind kind) {
		ForwardRig rig = ForwardRig.configured(1, 1);
		rig.submit(path);
		rig.advance(7_900);
		assertThat(rig.all(RefuseRequest.class)).isEmpty();
		rig.advance(100);
		assertThat(rig.last(RefuseRequest.class).problem().kind()).isEqualTo(kind);
		assertThat(rig.last(AbortAttempt.class).attempt()).isEqualTo(rig.lastAttempt());
	}

	static Stream<Arguments> unavailableInstances() {
		return Stream.of(
				Arguments.of("draining",
						new InstancesChanged(List.of(ForwardRig.instance("o0", ForwardRig.ORDERS, 0, true),
								ForwardRig.instance("o1", ForwardRig.ORDERS, 1, false)))),
				Arguments.of("removed",
						new InstancesChanged(List.of(ForwardRig.instance("o1", ForwardRig.ORDERS, 1, false)))),
				Arguments.of("evacuated", new DomainsEvacuated(Set.of("domain-0"))));
	}

	@ParameterizedTest(name = "{0}")
	@MethodSource("unavailableInstances")
	void sendsNothingToUnavailableInstance(String name, ForwardEvent event) {
		ForwardRig rig = ForwardRig.configured(0, 2);
		rig.handle(event);
		for (int request = 0; request < 20; request++) {
			rig.submit("/order/");
		}
		assertThat(rig.all(CallInstance.class)).hasSize(20)
			.allMatch((call) -> call.call().instance().id().equals("o1"));
	}

	@ParameterizedTest(name = "{0} failures")
	@ValueSource(ints = { 3 })
	void blocksRequestThatCrashesInstances(int times) {
		ForwardRig rig = ForwardRig.configured(0, 9);
		for (int failure = 0; failure < times; failure++) {
			rig.submit("/order/", 0, ForwardRig.KEY, 99);
			rig.failAttempt(rig.lastAttempt(), AttemptFault.BROKEN);
		}
		int calls = rig.all(CallInstance.class).size();
		rig.submit("/order/", 0, ForwardRig.KEY, 99);
		assertThat(rig.all(CallInstance.class)).hasSize(calls);
		assertThat(rig.last(RefuseRequest.class).problem().execution()).isEqualTo(Execution.NOT_RUN);
		rig.submit("/order/", 0, ForwardRig.KEY, 100);
		assertThat(rig.all(CallInstance.class)).hasSize(calls + 1);
	}

	@ParameterizedTest(name = "{0} ms without a response")
	@ValueSource(longs = { 6_000 })
	void movesStreamFromUnresponsiveEngineOnly(long millis) {
		ForwardRig rig = ForwardRig.configured(2, 0);
		rig.submit("/ask/", 5_000, ForwardRig.KEY, 1);
		rig.submit("/ask/", 5_000, ForwardRig.KEY, 2);
		List<CallInstance> calls = rig.all(CallInstance.class);
		assertThat(calls.get(0).call().instance()).isEqualTo(calls.get(1).call().instance());
		rig.answer(calls.get(1).call().attempt(), 200, AnswerVerdict.RUN, true);
		for (int event = 0; event < 4; event++) {
			rig.advance(500);
			rig.bytes(calls.get(1).call().attempt(), "id: " + event + "\ndata: a\n\n");
		}
		assertThat(rig.all(CallInstance.class)).as("calls while the engine responds to another request").hasSize(2);
		rig.advance(millis);
		assertThat(rig.all(CallInstance.class)).as("calls while the engine is unresponsive").hasSizeGreaterThan(2);
	}

	@ParameterizedTest(name = "callers disconnect after {0} ms")
	@ValueSource(longs = { 1_300, 2_000, 60_000 })
	void avoidsDeadEngineWithPlacedWork(long timeoutMillis) {
		ForwardRig rig = ForwardRig.configured(2, 0);
		List<RequestId> waiting = new ArrayList<>();
		String dead = null;
		for (int request = 0; request < 15; request++) {
			waiting.add(rig.submit("/ask/", 3_000, ForwardRig.KEY, request));
			ForwardCall call = rig.lastCall().call();
			dead = (dead != null) ? dead : call.instance().id();
			if (!call.instance().id().equals(dead)) {
				rig.answer(call.attempt(), 200, AnswerVerdict.RUN, true);
				rig.bytes(call.attempt(), "id: 1\ndata: a\n\n");
			}
			rig.advance(200);
			if (request * 200L >= timeoutMillis) {
				rig.handle(new ForwardCallerDisconnected(waiting.remove(0)));
			}
		}
		rig.submit("/ask/", 3_000, ForwardRig.KEY, 99);
		assertThat(rig.lastCall().call().instance().id()).isNotEqualTo(dead);
	}

	@ParameterizedTest(name = "refusing new work: {0}")
	@ValueSource(booleans = { true, false })
	void drainsAfterLastRequest(boolean refuseNew) {
		ForwardRig rig = ForwardRig.configured(0, 1);
		rig.submit("/look/");
		rig.handle(new ForwardDraining(refuseNew));
		assertThat(rig.all(ForwardDrained.class)).isEmpty();
		rig.submit("/order/");
		assertThat(rig.all(RefuseRequest.class)).hasSize(refuseNew ? 1 : 0);
		for (CallInstance call : rig.all(CallInstance.class)) {
			rig.answer(call.call().attempt(), 200, AnswerVerdict.RUN, false);
			rig.finish(call.call().attempt());
		}
		assertThat(rig.all(ForwardDrained.class)).isNotEmpty();
	}

}
