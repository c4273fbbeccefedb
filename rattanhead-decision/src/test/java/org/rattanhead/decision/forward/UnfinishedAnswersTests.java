package org.rattanhead.decision.forward;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.rattanhead.core.forward.AnswerVerdict;
import org.rattanhead.core.request.AttemptId;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Instances send many answers at once that are complete at no point.
 */
class UnfinishedAnswersTests {

	private static final int MAX_REPLY_BYTES = 4 * 1024 * 1024;

	private static final int PART_BYTES = 16 * 1024;

	private static final int PARTS = 15;

	private static final int INSTANCES = 40;

	/**
	 * Guards against LOST: 400 answers of 240 KiB without an end filled the memory of a
	 * gateway, and the requests of other clients ended with it.
	 */
	@ParameterizedTest(name = "{0} answers, streamed: {1}")
	@CsvSource({ "100, true", "100, false", "400, true", "400, false" })
	void holdsBoundedBytesOfUnfinishedAnswers(int answers, boolean streamed) {
		ForwardRig rig = ForwardRig.configured(0, INSTANCES, MAX_REPLY_BYTES);
		List<AttemptId> attempts = new ArrayList<>();
		for (int answer = 0; answer < answers; answer++) {
			attempts.add(begin(rig, answer, streamed));
		}
		for (int part = 0; part < PARTS; part++) {
			attempts.forEach((attempt) -> rig.bytes(attempt, "x".repeat(PART_BYTES)));
		}
		Set<AttemptId> open = new HashSet<>(attempts);
		assertThat(open).hasSize(answers);
		rig.all(AbortAttempt.class).forEach((aborted) -> open.remove(aborted.attempt()));
		rig.all(BeginReply.class)
			.forEach((begun) -> open.removeIf((attempt) -> attempt.request().equals(begun.request())));
		assertThat(open.size() * (long) PARTS * PART_BYTES).as("bytes held of replies that have not begun")
			.isLessThanOrEqualTo(MAX_REPLY_BYTES + PARTS * PART_BYTES);
	}

	/** Guards against short answers that are cut because others have no end. */
	@ParameterizedTest(name = "answer of {0} bytes, streamed: {1}")
	@CsvSource({ "1, false", "10000, false", "16384, false", "1000, true", "16384, true", "100000, false" })
	void relaysAnswerWhileMemoryIsScarce(int bytes, boolean streamed) {
		ForwardRig rig = ForwardRig.configured(0, 1, PART_BYTES);
		rig.bytes(begin(rig, 1, false), "x".repeat(2 * PART_BYTES));
		AttemptId attempt = begin(rig, 2, streamed);
		rig.bytes(attempt, "y".repeat(bytes) + (streamed ? "\n\n" : ""));
		rig.handle(new AttemptFinished(attempt));
		assertThat(rig.all(FinishReply.class)).extracting(FinishReply::request).containsExactly(attempt.request());
	}

	private static AttemptId begin(ForwardRig rig, int number, boolean streamed) {
		rig.submit("/look/", 0, ForwardRig.KEY, number);
		AttemptId attempt = rig.lastAttempt();
		rig.answer(attempt, 200, AnswerVerdict.RUN, streamed);
		return attempt;
	}

}
