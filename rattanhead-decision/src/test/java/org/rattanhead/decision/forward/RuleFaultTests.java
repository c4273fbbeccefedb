package org.rattanhead.decision.forward;

import java.util.List;
import java.util.function.Supplier;
import java.util.stream.Stream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import org.rattanhead.core.forward.AnswerVerdict;
import org.rattanhead.core.forward.AttemptFault;
import org.rattanhead.core.request.RequestId;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * A rule fails for one request, by an exception or an error.
 */
class RuleFaultTests {

	private static final int OTHERS = 4;

	static Stream<Arguments> failures() {
		return Stream.of("submitted", "timed out", "broken", "answered 500", "streamed", "finished")
			.flatMap((event) -> Stream.of(Arguments.of(event, "exception", null),
					Arguments.of(event, "error", (Supplier<Error>) StackOverflowError::new)));
	}

	/** Guards against LOST: a request that is never answered, since a rule failed. */
	@ParameterizedTest(name = "{0}: {1}")
	@MethodSource("failures")
	void answersRequestWhoseRuleFails(String event, String kind, Supplier<Error> error) {
		ForwardRig rig = ForwardRig.configured(0, 3);
		RequestId request = fail(rig, event, new FaultyParts(error));
		assertThat(finalReplies(rig, request)).isEqualTo(1);
		assertThat(rig.decider.busy()).as("the request is still in progress").isFalse();
	}

	/**
	 * Guards against LOST: timeouts and deadlines of all requests that were not enforced,
	 * since each tick ended at the request whose rule failed.
	 */
	@ParameterizedTest(name = "{0}: {1}")
	@MethodSource("failures")
	void otherRequestsContinue(String event, String kind, Supplier<Error> error) {
		ForwardRig rig = ForwardRig.configured(0, 3);
		FaultyParts parts = new FaultyParts(error);
		RequestId request = fail(rig, event, parts);
		List<RequestId> others = Stream.generate(() -> rig.submit("/look/")).limit(OTHERS).toList();
		rig.advance(500);
		others.forEach((other) -> assertThat(rig.all(CallInstance.class)
			.stream()
			.filter((command) -> command.call().attempt().request().equals(other))).hasSize(2));
		rig.advance(8_000);
		others.forEach((other) -> assertThat(finalReplies(rig, other)).isEqualTo(1));
		assertThat(finalReplies(rig, request)).isEqualTo(1);
	}

	/** Guards against a reply that promises "not run" after an instance was called. */
	@ParameterizedTest(name = "{0}: {1}")
	@MethodSource("failures")
	void promisesNothingAfterCall(String event, String kind, Supplier<Error> error) {
		ForwardRig rig = ForwardRig.configured(0, 3);
		fail(rig, event, new FaultyParts(error));
		int expected = event.equals("submitted") ? 503 : 502;
		rig.all(RefuseRequest.class)
			.forEach((refusal) -> assertThat(refusal.problem().kind().status()).isEqualTo(expected));
	}

	private static RequestId fail(ForwardRig rig, String event, FaultyParts parts) {
		if (event.equals("submitted")) {
			parts.arm();
		}
		RequestId request = rig.submit("/look/", 0, ForwardRig.KEY, 1, parts);
		if (event.equals("streamed") || event.equals("finished")) {
			rig.startAnswer(rig.lastAttempt());
			rig.advance(260);
		}
		parts.arm();
		switch (event) {
			case "timed out" -> rig.advance(400);
			case "broken" -> rig.failAttempt(rig.lastAttempt(), AttemptFault.BROKEN);
			case "answered 500" -> rig.answer(rig.lastAttempt(), 500, AnswerVerdict.RUN, false);
			case "streamed" -> rig.bytes(rig.lastAttempt(), "id: 2\ndata: b\n\n");
			case "finished" -> rig.finish(rig.lastAttempt());
			default -> assertThat(event).isEqualTo("submitted");
		}
		return request;
	}

	private static long finalReplies(ForwardRig rig, RequestId request) {
		return rig.all(RefuseRequest.class).stream().filter((command) -> command.request().equals(request)).count()
				+ rig.all(AbortReply.class).stream().filter((command) -> command.request().equals(request)).count()
				+ rig.all(FinishReply.class).stream().filter((command) -> command.request().equals(request)).count();
	}

}
