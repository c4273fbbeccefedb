package org.rattanhead.decision.forward;

import java.util.List;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import org.rattanhead.core.forward.AnswerVerdict;
import org.rattanhead.core.request.AttemptId;
import org.rattanhead.core.request.RequestId;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * An answer is read from its instance as fast as its caller takes it.
 */
class SlowCallerTests {

	private static final int ANSWER_BYTES = 4 * 1024 * 1024;

	private static final long PLAIN_BUFFER_BYTES = 256 * 1024;

	/** Guards against memory that grows with an answer that its caller does not take. */
	@ParameterizedTest(name = "streamed: {0}, parts of {1} bytes")
	@CsvSource({ "false, 1", "false, 1000", "false, 16384", "true, 1000", "true, 16384" })
	void readsBoundedPartOfAnswerThatCallerDoesNotTake(boolean streamed, int partBytes) {
		ForwardRig rig = ForwardRig.configured(2, 0);
		rig.submit("/ask/", 5_000, ForwardRig.KEY, 1);
		AttemptId attempt = rig.lastAttempt();
		rig.answer(attempt, 200, AnswerVerdict.RUN, streamed);
		long received = receiveWithinWindow(rig, attempt, streamed, partBytes, ANSWER_BYTES);
		assertThat(received).isLessThan(PLAIN_BUFFER_BYTES + 2 * GrantBytes.WINDOW_BYTES);
	}

	/** Guards against answers that stop because no further bytes are granted. */
	@ParameterizedTest(name = "streamed: {0}, parts of {1} bytes")
	@CsvSource({ "false, 1000", "false, 16384", "true, 1000", "true, 16384" })
	void readsWholeAnswerThatCallerTakes(boolean streamed, int partBytes) {
		ForwardRig rig = ForwardRig.configured(2, 0);
		RequestId request = rig.submit("/ask/", 5_000, ForwardRig.KEY, 1);
		AttemptId attempt = rig.lastAttempt();
		rig.answer(attempt, 200, AnswerVerdict.RUN, streamed);
		long received = 0;
		long written = 0;
		for (long before = -1; received < ANSWER_BYTES && received > before;) {
			before = received;
			received = receiveWithinWindow(rig, attempt, streamed, partBytes, ANSWER_BYTES);
			long sent = rig.replied().length();
			if (sent - written >= ReplyWritten.MIN_REPORT_BYTES) {
				rig.handle(new ReplyWritten(request, sent - written));
				written = sent;
			}
		}
		assertThat(received).isGreaterThanOrEqualTo(ANSWER_BYTES);
	}

	/** Guards against a sound instance that is given up because its caller is slow. */
	@ParameterizedTest(name = "for {0} ms")
	@ValueSource(longs = { 1_500, 4_000, 7_000 })
	void keepsInstanceWhoseCallerIsSlow(long millis) {
		ForwardRig rig = ForwardRig.configured(2, 0);
		rig.submit("/ask/", 5_000, ForwardRig.KEY, 1);
		AttemptId attempt = rig.lastAttempt();
		rig.answer(attempt, 200, AnswerVerdict.RUN, true);
		receiveWithinWindow(rig, attempt, true, 16_384, ANSWER_BYTES);
		rig.advance(millis);
		assertThat(rig.all(CallInstance.class)).hasSize(1);
		assertThat(rig.all(AbortAttempt.class)).isEmpty();
	}

	private static long receiveWithinWindow(ForwardRig rig, AttemptId attempt, boolean streamed, int partBytes,
			long maxBytes) {
		String part = streamed ? "x".repeat(partBytes - 2) + "\n\n" : "x".repeat(partBytes);
		long allowedBytes = GrantBytes.WINDOW_BYTES + granted(rig.commands);
		while (rig.receivedBytes() < Math.min(maxBytes, allowedBytes)) {
			allowedBytes += granted(rig.bytes(attempt, part));
		}
		return rig.receivedBytes();
	}

	private static long granted(List<ForwardCommand> commands) {
		return commands.stream()
			.filter(GrantBytes.class::isInstance)
			.mapToLong((command) -> ((GrantBytes) command).bytes())
			.sum();
	}

}
