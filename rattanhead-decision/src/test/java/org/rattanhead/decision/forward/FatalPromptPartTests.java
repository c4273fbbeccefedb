package org.rattanhead.decision.forward;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.Stream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Prompts that share one part with which they crash engines, while no two of them are
 * equal. The bounds are those of the platform's rules.
 */
class FatalPromptPartTests {

	private static final long STABLE_WINDOW_MILLIS = 3_000;

	private static final int LEARNING_CRASHES = 5;

	private static final int MAX_LATE_REQUESTS = 3;

	private static final long ONSET_MILLIS = 4_000;

	private static final long END_MILLIS = 26_000;

	private static final int FIRST_PARTS = 6;

	static Stream<Arguments> fleets() {
		List<Arguments> rows = new ArrayList<>();
		for (int daemons : new int[] { 1, 2, 8, 16 }) {
			for (double share : new double[] { 0.02, 0.05, 0.2, 0.6 }) {
				rows.add(Arguments.of(daemons, share, List.of(CrashingFleet.FATAL_PART), 0));
			}
		}
		rows.add(Arguments.of(8, 0.05, List.of(CrashingFleet.FATAL_PART), 1));
		rows.add(Arguments.of(8, 0.05, List.of(77L, CrashingFleet.FATAL_PART, 78L), 0));
		return rows.stream();
	}

	/**
	 * Guards against BUDGET and LOST: engine after engine crashed on prompts with one
	 * part in common, since each prompt was judged as a whole.
	 */
	@ParameterizedTest(name = "{0} daemons, share {1}, parts {2}, {3} events before the crash")
	@MethodSource("fleets")
	void stopsPromptsWithAPartThatCrashesEngines(int daemons, double share, List<Long> fatalParts,
			int eventsBeforeCrash) {
		CrashingFleet fleet = new CrashingFleet(daemons, 21, eventsBeforeCrash, 1);
		Random traffic = new Random(2);
		while (fleet.nowMillis() < END_MILLIS) {
			boolean fatal = fleet.nowMillis() >= ONSET_MILLIS && traffic.nextDouble() < share;
			List<Long> parts = new ArrayList<>(List.of(100L + traffic.nextInt(FIRST_PARTS)));
			if (fatal) {
				parts.addAll(fatalParts);
			}
			else if (traffic.nextBoolean()) {
				parts.addAll(List.of(77L, 78L));
			}
			fleet.submit(parts);
			fleet.advance(20 + 20 * traffic.nextInt(2));
		}
		long learnedMillis = fleet.crashMillis(LEARNING_CRASHES).orElse(END_MILLIS) + STABLE_WINDOW_MILLIS;
		assertThat(fleet.fatalCalls(learnedMillis))
			.as("prompts with the part that reached engines, after %s ms", learnedMillis)
			.isLessThanOrEqualTo(MAX_LATE_REQUESTS);
		assertThat(fleet.begunShare(learnedMillis + STABLE_WINDOW_MILLIS, END_MILLIS))
			.as("prompts without the part that began at the first attempt")
			.isGreaterThanOrEqualTo(fleet.begunShare(0, ONSET_MILLIS) / 2);
	}

}
