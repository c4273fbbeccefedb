package org.rattanhead.decision.forward;

import java.util.function.Consumer;
import java.util.stream.IntStream;

import org.rattanhead.core.forward.AnswerVerdict;
import org.rattanhead.core.forward.LoadEntry;
import org.rattanhead.core.problem.Execution;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * How far a request has come, on a rig with {@link #ENGINES} engines.
 */
enum RequestProgress {

	/** A prompt waits, since every engine writes streams of a peer. */
	HELD(Execution.NOT_RUN, RequestProgress::hold),

	/** A prompt waits for memory on several engines. */
	RESERVING(Execution.NOT_RUN, (rig) -> {
		rig.submit("/long/", 900_000, ForwardRig.KEY, 1);
		assertThat(rig.all(ReserveTicket.class)).isNotEmpty();
	}),

	/** A lookup was sent. */
	SENT(Execution.FAILED, (rig) -> rig.submit("/look/")),

	/** A request that may not be repeated was sent. */
	SENT_AT_MOST_ONCE(Execution.UNKNOWN, (rig) -> rig.submit("/order/")),

	/** A part of a plain answer has arrived. */
	PLAIN_PART_RECEIVED(Execution.FAILED, (rig) -> {
		rig.submit("/look/");
		rig.answer(rig.lastAttempt(), 200, AnswerVerdict.RUN, false);
		rig.bytes(rig.lastAttempt(), "part");
	}),

	/** The caller has the first event of a stream. */
	STREAMING(Execution.FAILED, (rig) -> {
		rig.submit("/ask/", 5_000, ForwardRig.KEY, 1);
		rig.startAnswer(rig.lastAttempt());
	});

	static final int ENGINES = 4;

	private static final int ENGINES_FOR_RESERVATIONS = 16;

	private static final int STREAMS_PER_ENGINE = 6;

	private final Execution execution;

	private final Consumer<ForwardRig> preparation;

	RequestProgress(Execution execution, Consumer<ForwardRig> preparation) {
		this.execution = execution;
		this.preparation = preparation;
	}

	/**
	 * Returns the number of engines that a stage needs.
	 * @param stage the stage
	 * @return the number of engines
	 */
	static int engines(RequestProgress stage) {
		return (stage == RESERVING) ? ENGINES_FOR_RESERVATIONS : ENGINES;
	}

	/**
	 * Returns what the caller may learn of the execution.
	 * @return the execution
	 */
	Execution execution() {
		return this.execution;
	}

	void prepare(ForwardRig rig) {
		this.preparation.accept(rig);
	}

	private static void hold(ForwardRig rig) {
		rig.handle(new PeerLoadStarted("peer",
				IntStream.range(0, ENGINES * STREAMS_PER_ENGINE)
					.mapToObj((index) -> new LoadEntry("p" + index, "e" + index % ENGINES, 6_000, 0, 250, 1.4, 9_000))
					.toList()));
		rig.submit("/long/", 182_000, ForwardRig.KEY, 1);
		assertThat(rig.all(CallInstance.class)).as("calls of the held prompt").isEmpty();
	}

}
