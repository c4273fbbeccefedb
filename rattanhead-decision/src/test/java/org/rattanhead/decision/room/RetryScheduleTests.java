package org.rattanhead.decision.room;

import java.util.Random;
import java.util.stream.LongStream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * The Retry-After of callers that are refused at the same moment.
 */
class RetryScheduleTests {

	// Guards against a Retry-After that ends before there is capacity, or after
	// the time that they wait at most.
	@ParameterizedTest(name = "capacity in {0} ms, {1} ms left: {2} to {3} ms")
	@CsvSource({ "0, 10000, 200, 350", "1000, 10000, 1000, 1400", "5000, 9000, 1800, 3000", "50, 1000, 200, 333",
			"50, 300, 200, 200", "0, 0, 200, 200" })
	void staysWithinBounds(double capacityMillis, long remainingMillis, long least, long most) {
		assertThat(delays(capacityMillis, remainingMillis)).allMatch((delay) -> delay >= least && delay <= most);
	}

	// Guards against refused callers that return together.
	@ParameterizedTest(name = "capacity in {0} ms, {1} ms left: at most {2} of 1000 in 20 ms")
	@CsvSource({ "0, 10000, 200", "1000, 10000, 100", "5000, 9000, 100", "50, 1000, 220" })
	void spreadsReturns(double capacityMillis, long remainingMillis, int most) {
		long[] delays = delays(capacityMillis, remainingMillis).sorted().toArray();
		for (long from : delays) {
			assertThat(LongStream.of(delays).filter((delay) -> delay >= from && delay < from + 20).count())
				.isLessThanOrEqualTo(most);
		}
	}

	private static LongStream delays(double capacityMillis, long remainingMillis) {
		RetrySchedule schedule = new RetrySchedule(new Random(3));
		return LongStream.generate(() -> schedule.retryAfterMillis(capacityMillis, remainingMillis)).limit(1_000);
	}

}
