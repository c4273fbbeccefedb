package org.rattanhead.decision.forward;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.Random;
import java.util.function.BiConsumer;
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

	private static final BiConsumer<CrashingFleet, Long> NO_TROUBLE = (fleet, nowMillis) -> {
	};

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
		play(fleet, share, fatalParts, NO_TROUBLE);
		assertStopped(fleet.results());
	}

	static Stream<Arguments> troubles() {
		return Stream.of(
				Arguments.of("one daemon starts again each second",
						restart((host, second) -> host.equals("d" + second % 8))),
				Arguments.of("all daemons start again in seconds 6 and 14",
						restart((host, second) -> second == 6 || second == 14)),
				Arguments.of("one daemon starts again each second from 8 on, without the store",
						(Trouble) FatalPromptPartTests::restartWithoutStore),
				Arguments.of("two halves do not reach each other",
						(Trouble) (fleet, second) -> fleet
							.connect((sender, receiver) -> half(sender) == half(receiver))),
				Arguments.of("datagrams are lost in one direction",
						(Trouble) (fleet, second) -> fleet
							.connect((sender, receiver) -> half(sender) <= half(receiver))),
				Arguments.of("the store is down all day", (Trouble) (fleet, second) -> fleet.setStoreAvailable(false)));
	}

	/** Guards against forgetting such parts, or learning them once for each daemon. */
	@ParameterizedTest(name = "{0}")
	@MethodSource("troubles")
	void remembersThePartBesideOtherTrouble(String name, Trouble trouble) {
		CrashingFleet fleet = new CrashingFleet(8, 21, 0, 1);
		List<Long> seconds = new ArrayList<>();
		play(fleet, 0.2, List.of(CrashingFleet.FATAL_PART), (played, nowMillis) -> {
			long second = nowMillis / 1_000;
			if (!seconds.contains(second)) {
				seconds.add(second);
				trouble.apply(played, second);
			}
		});
		assertStopped(fleet.results());
	}

	private static Trouble restart(RestartRule rule) {
		return (fleet,
				second) -> fleet.hosts().stream().filter((host) -> rule.restarts(host, second)).forEach(fleet::start);
	}

	private static void restartWithoutStore(CrashingFleet fleet, long second) {
		fleet.setStoreAvailable(second < 8);
		if (second >= 8) {
			fleet.start("d" + second % 8);
		}
	}

	private static int half(String host) {
		return Integer.parseInt(host.substring(1)) % 2;
	}

	private static void play(CrashingFleet fleet, double share, List<Long> fatalParts,
			BiConsumer<CrashingFleet, Long> trouble) {
		Random traffic = new Random(2);
		while (fleet.nowMillis() < END_MILLIS) {
			trouble.accept(fleet, fleet.nowMillis());
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
	}

	private static void assertStopped(FleetResults results) {
		OptionalLong lastLearningMillis = results.crashMillis(LEARNING_CRASHES);
		long learnedMillis = lastLearningMillis.orElse(ONSET_MILLIS) + STABLE_WINDOW_MILLIS;
		assertThat(lastLearningMillis.isPresent() ? results.fatalCalls(learnedMillis) : 0)
			.as("prompts with the part that reached engines, after %s ms", learnedMillis)
			.isLessThanOrEqualTo(MAX_LATE_REQUESTS);
		assertThat(results.begunShare(learnedMillis + STABLE_WINDOW_MILLIS, END_MILLIS))
			.as("prompts without the part that began at the first attempt")
			.isGreaterThanOrEqualTo(results.begunShare(0, ONSET_MILLIS) / 2);
	}

}
