package org.rattanhead.decision.forward;

import java.util.stream.IntStream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

import org.rattanhead.core.forward.AnswerVerdict;
import org.rattanhead.core.forward.LoadEntry;
import org.rattanhead.core.problem.Execution;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Requests that are in progress or arrive while the daemon shuts down.
 */
class ShutdownTests {

	private static final int ENGINES = 4;

	private static final int STREAMS_PER_ENGINE = 6;

	/**
	 * Guards against LOST: a held prompt that gets no answer at the end of a shutdown.
	 */
	@ParameterizedTest(name = "stops in {0} ms")
	@ValueSource(longs = { 500, 2_000, 4_700, 7_400 })
	void neverHoldsPromptBeyondShutdown(long stopMillis) {
		ForwardRig rig = ForwardRig.configured(ENGINES, 0);
		holdPrompt(rig);
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
	void givesEveryRequestItsFinalReplyAtTheEnd(Progress progress) {
		ForwardRig rig = ForwardRig.configured(ENGINES, 1);
		progress.prepare(rig);
		rig.handle(new GraceEnded());
		assertThat(rig.all(AbortReply.class)).hasSize((progress == Progress.STREAMING) ? 1 : 0);
		assertThat(rig.all(RefuseRequest.class)).hasSize((progress == Progress.STREAMING) ? 0 : 1);
		rig.all(RefuseRequest.class)
			.forEach((reply) -> assertThat(reply.problem().execution()).isEqualTo(progress.execution));
		assertThat(rig.all(AbortAttempt.class)).hasSize((progress == Progress.HELD) ? 0 : 1);
		assertThat(rig.all(ForwardDrained.class)).isNotEmpty();
		rig.submit("/look/");
		assertThat(rig.last(RefuseRequest.class).problem().execution()).isEqualTo(Execution.NOT_RUN);
	}

	/** Submits a prompt that waits, since every engine writes streams of a peer. */
	private static void holdPrompt(ForwardRig rig) {
		rig.handle(new PeerLoadStarted("peer",
				IntStream.range(0, ENGINES * STREAMS_PER_ENGINE)
					.mapToObj((index) -> new LoadEntry("p" + index, "e" + index % ENGINES, 6_000, 0, 250, 1.4, 9_000))
					.toList()));
		rig.submit("/long/", 182_000, ForwardRig.KEY, 1);
		assertThat(rig.all(CallInstance.class)).as("calls of the held prompt").isEmpty();
	}

	/** How far a request has come. */
	private enum Progress {

		HELD(Execution.NOT_RUN) {
			@Override
			void prepare(ForwardRig rig) {
				holdPrompt(rig);
			}
		},

		SENT(Execution.FAILED) {
			@Override
			void prepare(ForwardRig rig) {
				rig.submit("/look/");
			}
		},

		SENT_AT_MOST_ONCE(Execution.UNKNOWN) {
			@Override
			void prepare(ForwardRig rig) {
				rig.submit("/order/");
			}
		},

		PLAIN_PART_RECEIVED(Execution.FAILED) {
			@Override
			void prepare(ForwardRig rig) {
				rig.submit("/look/");
				rig.answer(rig.lastAttempt(), 200, AnswerVerdict.RUN, false);
				rig.bytes(rig.lastAttempt(), "part");
			}
		},

		STREAMING(Execution.FAILED) {
			@Override
			void prepare(ForwardRig rig) {
				rig.submit("/ask/", 5_000, ForwardRig.KEY, 1);
				rig.startAnswer(rig.lastAttempt());
			}
		};

		private final Execution execution;

		Progress(Execution execution) {
			this.execution = execution;
		}

		abstract void prepare(ForwardRig rig);

	}

}
