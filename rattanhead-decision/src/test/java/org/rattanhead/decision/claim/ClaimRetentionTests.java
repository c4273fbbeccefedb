package org.rattanhead.decision.claim;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import org.rattanhead.core.Payload;
import org.rattanhead.core.claim.AcquireClaim;
import org.rattanhead.core.claim.ClaimAnswered;
import org.rattanhead.core.claim.ClaimKey;
import org.rattanhead.core.claim.ClaimOutcome;
import org.rattanhead.core.claim.ClaimRecord;
import org.rattanhead.core.claim.ClaimRefreshed;
import org.rattanhead.core.claim.ClaimReleased;
import org.rattanhead.core.claim.ClaimTaken;
import org.rattanhead.core.claim.KeptAnswer;
import org.rattanhead.core.request.RequestId;
import org.rattanhead.decision.Fixtures;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that claims outlive the records that the log has dropped.
 */
class ClaimRetentionTests {

	private static final long REFRESH_INTERVAL_NANOS = 600 * Fixtures.SECOND;

	private static final long PAST_TIMEOUT_NANOS = 3 * Fixtures.SECOND;

	private static final ClaimKey KEY = new ClaimKey("w", "k");

	private static final RequestId FIRST = new RequestId("first");

	private static final RequestId OTHER = new RequestId("other");

	private static final KeptAnswer ANSWER = new KeptAnswer(200, "text", Payload.of("done"));

	private final FakeLog log = new FakeLog();

	private final Deque<ReadClaims> reads = new ArrayDeque<>();

	private final List<ClaimOutcome> outcomes = new ArrayList<>();

	static Stream<Arguments> histories() {
		ClaimRecord taken = new ClaimTaken(KEY, "d", FIRST);
		ClaimRecord laterTaken = new ClaimTaken(KEY, "d", OTHER);
		ClaimRecord released = new ClaimReleased(KEY, FIRST);
		ClaimRecord stale = new ClaimRefreshed(KEY, "d", FIRST, Optional.empty(), 1);
		return Stream.of(Arguments.of("held", List.of(taken), ClaimOutcome.HELD),
				Arguments.of("answered", List.of(taken, new ClaimAnswered(KEY, FIRST, ANSWER)), ClaimOutcome.ANSWERED),
				Arguments.of("held, with a later claim on record", List.of(taken, laterTaken), ClaimOutcome.HELD),
				Arguments.of("released", List.of(taken, released), ClaimOutcome.GRANTED),
				Arguments.of("released twice", List.of(taken, released, laterTaken, released), ClaimOutcome.GRANTED),
				Arguments.of("refreshed by a reader that lagged behind",
						List.of(taken, released, laterTaken, stale, released), ClaimOutcome.GRANTED));
	}

	@ParameterizedTest(name = "{0}")
	@MethodSource("histories")
	void refreshesClaimsBeforeTheLogDropsTheirRecords(String name, List<ClaimRecord> history, ClaimOutcome expected) {
		history.forEach((record) -> this.log.append(List.of(record)));
		ClaimDecider writer = new ClaimDecider(100);
		drive(writer, new ClaimWriterChanged(true), 0);
		drive(writer, new ClaimTick(), REFRESH_INTERVAL_NANOS);
		this.log.dropBefore(history.size());
		this.reads.clear();
		ClaimDecider lateReader = new ClaimDecider(100);
		AcquireClaim order = new AcquireClaim(OTHER, KEY, "d", 2 * REFRESH_INTERVAL_NANOS);
		drive(lateReader, new ClaimOrderReceived("edge", order), REFRESH_INTERVAL_NANOS + 1);
		drive(lateReader, new ClaimTick(), REFRESH_INTERVAL_NANOS + PAST_TIMEOUT_NANOS);
		assertThat(this.outcomes).containsExactly(expected);
	}

	@ParameterizedTest(name = "{0} records dropped")
	@MethodSource("counts")
	void neverGrantsLaterClaimAfterRecordsWereDropped(int count) {
		this.log.append(List.of(new ClaimTaken(KEY, "d", FIRST)));
		this.log.append(List.of(new ClaimTaken(KEY, "d", OTHER)));
		this.log.append(List.of(new ClaimRefreshed(KEY, "d", FIRST, Optional.empty(), 2)));
		this.log.dropBefore(count);
		ClaimDecider lateReader = new ClaimDecider(100);
		drive(lateReader, new ClaimOrderReceived("edge", new AcquireClaim(OTHER, KEY, "d", REFRESH_INTERVAL_NANOS)), 1);
		drive(lateReader, new ClaimTick(), PAST_TIMEOUT_NANOS);
		assertThat(this.outcomes).containsExactly(ClaimOutcome.HELD);
	}

	static Stream<Integer> counts() {
		return Stream.of(0, 1, 2);
	}

	@ParameterizedTest(name = "{0} unreadable records")
	@MethodSource("counts")
	void neverGrantsLaterClaimBehindUnreadableRecords(int unreadable) {
		this.log.append(List.of(new ClaimTaken(KEY, "d", FIRST)));
		for (int record = 0; record < unreadable; record++) {
			this.log.append(List.of());
		}
		this.log.append(List.of(new ClaimTaken(KEY, "d", OTHER)));
		this.log.append(List.of(new ClaimRefreshed(KEY, "d", FIRST, Optional.empty(), 2 + unreadable)));
		this.log.dropBefore(1);
		ClaimDecider lateReader = new ClaimDecider(100);
		drive(lateReader, new ClaimOrderReceived("edge", new AcquireClaim(OTHER, KEY, "d", REFRESH_INTERVAL_NANOS)), 1);
		drive(lateReader, new ClaimTick(), PAST_TIMEOUT_NANOS);
		assertThat(this.outcomes).containsExactly(ClaimOutcome.HELD);
	}

	@ParameterizedTest(name = "{0} releases")
	@MethodSource("counts")
	void grantsLaterClaimOnlyAfterReleaseOfTheFirst(int releases) {
		ClaimDecider writer = new ClaimDecider(100);
		drive(writer, new ClaimWriterChanged(true), 0);
		this.log.append(List.of(new ClaimTaken(KEY, "d", FIRST)));
		drive(writer, new ClaimOrderReceived("edge", new AcquireClaim(OTHER, KEY, "d", REFRESH_INTERVAL_NANOS)), 1);
		for (int release = 0; release < releases; release++) {
			this.log.append(List.of(new ClaimReleased(KEY, FIRST)));
		}
		drive(writer, new ClaimTick(), Fixtures.SECOND);
		drive(writer, new ClaimTick(), PAST_TIMEOUT_NANOS);
		assertThat(this.outcomes).containsExactly((releases > 0) ? ClaimOutcome.GRANTED : ClaimOutcome.HELD);
	}

	private void drive(ClaimDecider decider, ClaimEvent event, long nowNanos) {
		Deque<ClaimEvent> events = new ArrayDeque<>(List.of(event));
		while (!events.isEmpty()) {
			for (ClaimCommand command : decider.decide(events.poll(), nowNanos)) {
				if (command instanceof AppendClaims append) {
					this.log.append(append.records());
					events.add(new ClaimsAppended(true));
				}
				else if (command instanceof ReadClaims read) {
					this.reads.add(read);
				}
				else if (command instanceof SendVerdict send) {
					this.outcomes.add(send.verdict().outcome());
				}
			}
			ReadClaims next = this.reads.peek();
			if (next != null && (!next.caughtUp() || this.log.endOffset() > next.fromOffset())) {
				events.add(this.log.read(this.reads.poll().fromOffset(), 1));
			}
		}
	}

}
