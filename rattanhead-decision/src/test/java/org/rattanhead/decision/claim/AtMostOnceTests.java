package org.rattanhead.decision.claim;

import java.util.stream.LongStream;
import java.util.stream.Stream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Checks on seeded schedules that a request that may not be repeated runs at most once,
 * and that no request reported as not run has run. The number of schedules for each row
 * is set with {@code -Drattanhead.schedules=N}.
 */
class AtMostOnceTests {

	private static final int SCHEDULES = Integer.getInteger("rattanhead.schedules", 200);

	private static final int STEPS = 120;

	static Stream<Arguments> faultRates() {
		return Stream.of(Arguments.of("no fault", ClaimFaults.NONE),
				Arguments.of("append answers lost", new ClaimFaults(50, 0, 0, 0, 0, 0, 0, 0, 0)),
				Arguments.of("appends fail", new ClaimFaults(0, 50, 0, 0, 0, 0, 0, 0, 0)),
				Arguments.of("log outages", new ClaimFaults(0, 0, 15, 0, 0, 0, 0, 0, 0)),
				Arguments.of("daemons crash", new ClaimFaults(0, 0, 0, 15, 0, 0, 0, 0, 0)),
				Arguments.of("daemons disagree on the members", new ClaimFaults(0, 0, 0, 0, 30, 0, 0, 0, 0)),
				Arguments.of("messages lost", new ClaimFaults(0, 0, 0, 0, 0, 30, 0, 0, 0)),
				Arguments.of("daemons pause", new ClaimFaults(0, 0, 0, 0, 0, 0, 20, 0, 0)),
				Arguments.of("lease holders refuse", new ClaimFaults(0, 0, 0, 0, 0, 0, 0, 50, 0)),
				Arguments.of("runs end without a known outcome", new ClaimFaults(0, 0, 0, 0, 0, 0, 0, 0, 50)),
				Arguments.of("all faults together", ClaimFaults.ALL));
	}

	@ParameterizedTest(name = "{0}")
	@MethodSource("faultRates")
	void runsEachKeyAtMostOnce(String name, ClaimFaults faults) {
		LongStream.range(0, SCHEDULES).forEach((seed) -> {
			ClaimSimulation simulation = new ClaimSimulation(seed, faults);
			simulation.run(STEPS);
			simulation.check(seed);
		});
	}

	@ParameterizedTest(name = "seed {0}")
	@MethodSource("seeds")
	void runsAndAnswersEveryKeyWithoutFaults(long seed) {
		ClaimSimulation simulation = new ClaimSimulation(seed, ClaimFaults.NONE);
		simulation.run(STEPS);
		simulation.check(seed);
		assertThat(simulation.runs()).isEqualTo(3);
		assertThat(simulation.answered()).isGreaterThan(3);
	}

	static LongStream seeds() {
		return LongStream.range(0, 20);
	}

}
