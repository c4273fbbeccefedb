package org.rattanhead.decision.forward;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

import org.rattanhead.core.problem.Execution;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Requests that are in progress or arrive while the daemon shuts down.
 */
class ShutdownTests {

	/**
	 * Guards against LOST: a held prompt that gets no answer at the end of a shutdown.
	 */
	@ParameterizedTest(name = "stops in {0} ms")
	@ValueSource(longs = { 500, 2_000, 4_700, 7_400 })
	void neverHoldsPromptBeyondShutdown(long stopMillis) {
		ForwardRig rig = ForwardRig.configured(RequestProgress.ENGINES, 0);
		RequestProgress.HELD.prepare(rig);
		rig.handle(new ShutdownStarted(rig.nanosIn(stopMillis)));
		rig.advance(stopMillis);
		boolean refused = rig.all(RefuseRequest.class).size() == 1;
		assertThat(rig.all(CallInstance.class)).hasSize(refused ? 0 : 1);
		if (refused) {
			assertThat(rig.last(RefuseRequest.class).problem().execution()).isEqualTo(Execution.NOT_RUN);
			assertThat(rig.last(RefuseRequest.class).problem().kind().status()).isEqualTo(503);
		}
	}

	/** Guards against requests that are accepted although their answer would be cut. */
	@ParameterizedTest(name = "{0} tokens, stops in {1} ms, refused: {2}")
	@CsvSource({ "5000, 500, true", "5000, 4000, false", "180000, 4000, true", "180000, 8000, false" })
	void refusesAtOncePromptThatOutlastsShutdown(long tokens, long stopMillis, boolean refused) {
		ForwardRig rig = ForwardRig.configured(1, 0);
		rig.handle(new ShutdownStarted(rig.nanosIn(stopMillis)));
		rig.submit("/ask/", tokens, ForwardRig.KEY, 1);
		assertThat(rig.all(RefuseRequest.class)).hasSize(refused ? 1 : 0);
		assertThat(rig.all(CallInstance.class)).hasSize(refused ? 0 : 1);
	}

	/** Guards against LOST: a connection that is closed without a final reply. */
	@ParameterizedTest
	@EnumSource
	void givesEveryRequestItsFinalReplyAtTheEnd(RequestProgress progress) {
		ForwardRig rig = ForwardRig.configured(RequestProgress.engines(progress), 1);
		progress.prepare(rig);
		rig.handle(new GraceEnded());
		assertThat(rig.all(AbortReply.class)).hasSize((progress == RequestProgress.STREAMING) ? 1 : 0);
		assertThat(rig.all(RefuseRequest.class)).hasSize((progress == RequestProgress.STREAMING) ? 0 : 1);
		rig.all(RefuseRequest.class)
			.forEach((reply) -> assertThat(reply.problem().execution()).isEqualTo(progress.execution()));
		assertThat(rig.all(AbortAttempt.class)).hasSameSizeAs(rig.all(CallInstance.class));
		rig.all(ReserveTicket.class)
			.forEach((order) -> rig.handle(new TicketReplied(order.ticket(), TicketOutcome.RELEASED)));
		assertThat(rig.all(ForwardDrained.class)).isNotEmpty();
		rig.submit("/look/");
		assertThat(rig.last(RefuseRequest.class).problem().execution()).isEqualTo(Execution.NOT_RUN);
	}

}
