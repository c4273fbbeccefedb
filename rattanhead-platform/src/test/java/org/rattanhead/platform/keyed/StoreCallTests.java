package org.rattanhead.platform.keyed;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Map;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * The number of calls of all gateways to the store. Each call is billed, refused ones
 * included. The counts by stream and kind are written to target/store-calls.txt.
 */
class StoreCallTests {

	private static final int SEEDS = 5;

	private static final long START_MILLIS = 10_000;

	/**
	 * Guards against pages that each gateway reads at its first start, and against
	 * changes that each reads for itself: when all start again, three pages for each, and
	 * 35 reads of changes for all.
	 */
	@ParameterizedTest(name = "{0} gateways: at most {1} calls at the first start, {2} when all start again")
	@CsvSource({ "8, 55, 59", "28, 95, 119" })
	void startsWithFewCalls(int gateways, int firstStart, int restart) throws IOException {
		for (int seed = 1; seed <= SEEDS; seed++) {
			SimulatedFleet fleet = new SimulatedFleet(gateways, seed);
			fleet.startAll();
			fleet.run(START_MILLIS);
			assertThat(total("first start, 10 s", gateways, fleet)).isLessThanOrEqualTo(firstStart);
			fleet.run(2 * START_MILLIS);
			fleet.store.takeCalls();
			fleet.startAll();
			fleet.run(START_MILLIS);
			assertThat(total("restart of all, 10 s", gateways, fleet)).isLessThanOrEqualTo(restart);
		}
	}

	/**
	 * Guards against more than one reader, and against reads that the bounds do not need.
	 */
	@ParameterizedTest(name = "{0} gateways: at most {1} calls in a calm minute")
	@CsvSource({ "8, 170", "28, 125" })
	void readsRarelyWhileNothingChanges(int gateways, int calls) throws IOException {
		for (int seed = 1; seed <= SEEDS; seed++) {
			SimulatedFleet fleet = new SimulatedFleet(gateways, seed);
			fleet.startAll();
			fleet.run(START_MILLIS);
			fleet.store.takeCalls();
			fleet.run(60_000);
			assertThat(total("calm minute", gateways, fleet)).isLessThanOrEqualTo(calls);
		}
	}

	/** Guards against retries of each stream, and of gateways that receive updates. */
	@ParameterizedTest(name = "{0} gateways, started during the refusals {1}: at most {2} refused calls in 9 s")
	@CsvSource({ "8, false, 10", "28, false, 15", "8, true, 12", "28, true, 32" })
	void callsAStoreThatRefusesAThirdRarely(int gateways, boolean starting, int refused) throws IOException {
		for (int seed = 1; seed <= SEEDS; seed++) {
			SimulatedFleet fleet = new SimulatedFleet(gateways, seed);
			fleet.startAll();
			fleet.run(2 * START_MILLIS);
			fleet.store.takeCalls();
			fleet.refuseThird();
			if (starting) {
				fleet.startAll();
			}
			fleet.run(9_000);
			Map<String, Integer> calls = fleet.store.takeCalls();
			record((starting ? "restart, " : "") + "a third refused, 9 s", gateways, calls);
			int count = calls.entrySet()
				.stream()
				.filter((call) -> call.getKey().endsWith("refused"))
				.mapToInt(Map.Entry::getValue)
				.sum();
			assertThat(count).as("refused calls in %s", calls).isLessThanOrEqualTo(refused);
		}
	}

	private static int total(String phase, int gateways, SimulatedFleet fleet) throws IOException {
		return record(phase, gateways, fleet.store.takeCalls());
	}

	private static int record(String phase, int gateways, Map<String, Integer> calls) throws IOException {
		int total = calls.values().stream().mapToInt(Integer::intValue).sum();
		Files.writeString(Path.of("target", "store-calls.txt"),
				gateways + " gateways, " + phase + ": " + total + " " + calls + "\n", StandardOpenOption.CREATE,
				StandardOpenOption.APPEND);
		return total;
	}

}
