package org.rattanhead.platform.keyed;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * The time until all gateways have a configuration that is too large for one message
 * between them, while their links and the store carry a limited number of bytes a second.
 */
class LargeConfigurationTests {

	private static final int SEEDS = 3;

	/**
	 * Not a multiple of the period of reads, so that versions fall into different
	 * moments.
	 */
	private static final long SEED_STEP_MILLIS = 137;

	private static final long WARM_UP_MILLIS = 10_000;

	private static final int BASE_ROUTES = 240;

	/** The link of the smallest machine of a large deployment, 9.8 Mbit/s. */
	private static final long LINK_BYTES_PER_MILLI = 1_225;

	/** What the store sends to all gateways together, 80 MB/s. */
	private static final long TOTAL_BYTES_PER_MILLI = 80_000;

	/** What is left of the bounds for slow hosts and for the decision duty. */
	private static final long MARGIN_MILLIS = 200;

	/**
	 * Guards against CONFIG: the last of several versions in quick succession that is in
	 * force too late.
	 */
	@ParameterizedTest(name = "{0} gateways, {1} routes, {2} versions {3} ms apart, {4} of the messages lost: {5} ms")
	@CsvSource({ "8, 1600, 1, 0, 0, 2000", "8, 1600, 12, 300, 0, 2000", "8, 1600, 30, 80, 0, 2000",
			"8, 4000, 12, 300, 0, 2000", "28, 1600, 12, 300, 0, 3000", "28, 1600, 30, 80, 0, 3000",
			"28, 1600, 12, 300, 0.05, 3000", "118, 240, 25, 80, 0, 3000", "118, 1600, 1, 0, 0, 3000",
			"118, 1600, 10, 350, 0, 3000", "118, 1600, 25, 80, 0.03, 3000", "8, 1600, 2, 300, 0, 2000",
			"28, 1600, 2, 300, 0, 3000", "118, 1600, 2, 350, 0, 3000", "118, 1600, 2, 700, 0, 3000" })
	void putsLastOfManyLargeVersionsInForce(int gateways, int routes, int versions, long gapMillis, double lostShare,
			long boundMillis) {
		List<String> late = new ArrayList<>();
		for (int seed = 1; seed <= SEEDS; seed++) {
			SimulatedFleet fleet = start(gateways, seed);
			fleet.lostShare = lostShare;
			int last = 2 + versions;
			for (int version = 3; version <= last; version++) {
				fleet.configure(version, BASE_ROUTES + routes);
				fleet.run((version < last) ? gapMillis : 0);
			}
			long writtenMillis = fleet.time.millis();
			fleet.run(boundMillis - MARGIN_MILLIS);
			for (SimulatedGateway gateway : fleet.gateways()) {
				if (!gateway.appliedMillis.containsKey(LargeConfiguration.firstLine(last))) {
					late.add("seed " + seed + " " + gateway.self.host() + " has " + gateway.values().get("config")
							+ " after " + (fleet.time.millis() - writtenMillis) + " ms");
				}
			}
		}
		assertThat(late).isEmpty();
	}

	/** Guards against reads of every version by every gateway. */
	@ParameterizedTest(name = "{0} gateways, {1} versions 300 ms apart")
	@CsvSource({ "8, 1", "28, 1", "118, 1", "28, 5" })
	void readsASmallChangeForAllGateways(int gateways, int versions) {
		for (int seed = 1; seed <= SEEDS; seed++) {
			SimulatedFleet fleet = start(gateways, seed);
			fleet.store.links.takeAnsweredBytes();
			for (int version = 3; version <= 2 + versions; version++) {
				fleet.configure(version, BASE_ROUTES);
				fleet.run(300);
			}
			fleet.run(WARM_UP_MILLIS);
			long versionBytes = LargeConfiguration.text(3, BASE_ROUTES).length();
			assertThat(fleet.store.links.takeAnsweredBytes()).as("bytes, seed %d", seed)
				.isLessThan((versions + 2) * versionBytes);
		}
	}

	private static SimulatedFleet start(int gateways, int seed) {
		SimulatedFleet fleet = new SimulatedFleet(gateways, seed);
		fleet.store.links.linkBytesPerMilli = LINK_BYTES_PER_MILLI;
		fleet.store.links.totalBytesPerMilli = TOTAL_BYTES_PER_MILLI;
		fleet.startAll();
		fleet.run(WARM_UP_MILLIS + seed * SEED_STEP_MILLIS);
		fleet.configure(2, BASE_ROUTES);
		fleet.run(WARM_UP_MILLIS / 2);
		return fleet;
	}

}
