package org.rattanhead.daemon.gateway;

import java.util.List;
import java.util.stream.Stream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

import org.rattanhead.core.Payload;
import org.rattanhead.core.problem.Problem;
import org.rattanhead.core.problem.ProblemKind;
import org.rattanhead.core.request.RequestId;
import org.rattanhead.decision.forward.BeginReply;
import org.rattanhead.decision.forward.ContinueReply;
import org.rattanhead.decision.forward.DecisionInput;
import org.rattanhead.decision.forward.FinishReply;
import org.rattanhead.decision.forward.ForwardCommand;
import org.rattanhead.decision.forward.LogDecision;
import org.rattanhead.decision.forward.PublishLoadEnded;
import org.rattanhead.decision.forward.RefuseRequest;
import org.rattanhead.decision.forward.StoreSuspect;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * A command fails that was decided together with a reply.
 */
class CommandFaultTests {

	private static final RequestId REQUEST = new RequestId("r");

	static Stream<Arguments> failingCommands() {
		return Stream.of(
				Arguments.of("metrics",
						new LogDecision("answered", "r", "a", "i", "whole",
								List.of(new DecisionInput("elapsed_ms", "unknown")))),
				Arguments.of("log", new LogDecision("answered", "r", "a", "i", null, List.of())),
				Arguments.of("mesh", new PublishLoadEnded(List.of("k"))), Arguments.of("store", new StoreSuspect(1)));
	}

	/**
	 * Guards against LOST: a reply that is never sent, since an earlier command failed.
	 */
	@ParameterizedTest(name = "{0}")
	@MethodSource("failingCommands")
	void repliesAfterFailedCommand(String name, ForwardCommand failing) {
		RecordedReplies replies = new RecordedReplies("");
		router(replies).route(List.of(failing,
				new RefuseRequest(REQUEST, Problem.notRun(ProblemKind.NO_UPSTREAM, "No instance.", 300))), 0);
		assertThat(replies.calls).containsExactly("refuse");
	}

	/** Guards against MIXED: a reply without its head, or with a part missing. */
	@ParameterizedTest(name = "{0} fails")
	@CsvSource({ "begin, abort write finish", "write, begin abort finish" })
	void abortsReplyWhosePartFails(String failing, String expected) {
		RecordedReplies replies = new RecordedReplies(failing);
		router(replies).route(List.of(new BeginReply(REQUEST, 200, List.of(), 1),
				new ContinueReply(REQUEST, Payload.of("a")), new FinishReply(REQUEST)), 0);
		assertThat(String.join(" ", replies.calls)).isEqualTo(expected);
	}

	private static GatewayRouter router(RecordedReplies replies) {
		return new GatewayRouter(replies, null, null, new GatewayMetrics(), null, (stranded) -> {
		}, () -> {
		});
	}

}
