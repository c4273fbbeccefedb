package org.rattanhead.platform.keyed;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BiConsumer;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.rattanhead.core.keyed.KeyedStream;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * The time until all gateways know of a change while a gateway, a link or the store
 * fails. Small fleets have 2 s for it, large ones 3 s.
 */
class StoreFaultTests {

	private static final int SEEDS = 20;

	/**
	 * Not a multiple of the period of reads, so that faults fall into different moments.
	 */
	private static final long SEED_STEP_MILLIS = 137;

	private static final long RETURN_BOUND_MILLIS = 4_000;

	/** What is left of the bounds for slow hosts and for the decision duty. */
	private static final long MARGIN_MILLIS = 200;

	/** Guards against changes that are noticed late because the reader has failed. */
	@ParameterizedTest(name = "{0} gateways, {1}")
	@CsvSource({ "8, READERS_DIE, 2000", "28, READERS_DIE, 3000", "8, READERS_FREEZE, 2000", "28, READERS_FREEZE, 3000",
			"8, READERS_CUT_OFF, 2000", "28, READERS_CUT_OFF, 3000", "8, OTHER_CUT_OFF, 2000",
			"28, OTHER_CUT_OFF, 3000", "8, READERS_LOSE_STORE, 2000", "28, READERS_LOSE_STORE, 3000",
			"8, THIRD_REFUSED, 2000", "28, THIRD_REFUSED, 3000" })
	void noticesChangesInTime(int gateways, Fault fault, long boundMillis) {
		for (int seed = 1; seed <= SEEDS; seed++) {
			SimulatedFleet fleet = start(gateways, seed);
			Set<String> readers = readers(fleet);
			fault.inject.accept(fleet, readers);
			fleet.change();
			long changedMillis = fleet.time.millis();
			fleet.run(boundMillis);
			for (SimulatedGateway gateway : fleet.gateways()) {
				if (!fault.stopsReaders || !readers.contains(gateway.self.host())) {
					assertNoticed(gateway, changedMillis + boundMillis - MARGIN_MILLIS, seed);
				}
			}
		}
	}

	/** Guards against gateways that notice late that the store has returned. */
	@ParameterizedTest(name = "{0} gateways, refused for {1} ms, calls lost {2}")
	@CsvSource({ "8, 9000, false", "28, 9000, false", "8, 7000, true", "28, 7000, true" })
	void isInContactAgainAfterTheStoreReturns(int gateways, long outageMillis, boolean lost) {
		for (int seed = 1; seed <= SEEDS; seed++) {
			SimulatedFleet fleet = start(gateways, seed);
			Set<String> hosts = lost ? fleet.store.lostHosts : fleet.store.refusedHosts;
			fleet.gateways().forEach((gateway) -> hosts.add(gateway.self.host()));
			fleet.run(outageMillis);
			hosts.clear();
			fleet.change();
			long changedMillis = fleet.time.millis();
			fleet.run(RETURN_BOUND_MILLIS);
			for (SimulatedGateway gateway : fleet.gateways()) {
				assertNoticed(gateway, changedMillis + RETURN_BOUND_MILLIS - MARGIN_MILLIS, seed);
			}
		}
	}

	/** Guards against gateways that wait for each other when all of them start. */
	@ParameterizedTest(name = "{0} gateways, a third refused {1}: ready after {2} ms")
	@CsvSource({ "8, false, 1200", "28, false, 1200", "8, true, 3000", "28, true, 3000" })
	void isReadySoonAfterARestartOfAll(int gateways, boolean refused, long readyMillis) {
		for (int seed = 1; seed <= SEEDS; seed++) {
			SimulatedFleet fleet = start(gateways, seed);
			if (refused) {
				fleet.refuseThird();
			}
			fleet.startAll();
			fleet.run(readyMillis);
			assertThat(fleet.gateways().stream().filter((gateway) -> !gateway.configured()).count())
				.as("gateways that are not ready, seed %d", seed)
				.isZero();
		}
	}

	private static SimulatedFleet start(int gateways, int seed) {
		SimulatedFleet fleet = new SimulatedFleet(gateways, seed);
		fleet.startAll();
		fleet.run(20_000 + seed * SEED_STEP_MILLIS);
		return fleet;
	}

	private static Set<String> readers(SimulatedFleet fleet) {
		return new HashSet<>(
				List.of(fleet.store.lastReader(KeyedStream.OPERATORS), fleet.store.lastReader(KeyedStream.INSTANCES)));
	}

	private static void assertNoticed(SimulatedGateway gateway, long endMillis, int seed) {
		for (String value : List.of(SimulatedFleet.NEW_CONFIGURATION, SimulatedFleet.LEAVING)) {
			assertThat(gateway.appliedMillis.getOrDefault(value, Long.MAX_VALUE))
				.as("when %s knew of %s, seed %d", gateway.self.host(), value, seed)
				.isLessThanOrEqualTo(endMillis);
		}
	}

	/**
	 * What fails.
	 */
	enum Fault {

		/** The gateways that read for the others end. */
		READERS_DIE(true, (fleet, readers) -> readers.forEach((host) -> fleet.gateway(host).end())),

		/** The gateways that read for the others stop without closing anything. */
		READERS_FREEZE(true, (fleet, readers) -> readers.forEach((host) -> fleet.gateway(host).freeze())),

		/** The gateways that read for the others exchange no messages with them. */
		READERS_CUT_OFF(false, (fleet, readers) -> fleet.cutOffHosts.addAll(readers)),

		/** A gateway that does not read exchanges no messages with the others. */
		OTHER_CUT_OFF(false,
				(fleet, readers) -> fleet.gateways()
					.stream()
					.map((gateway) -> gateway.self.host())
					.filter((host) -> !readers.contains(host))
					.findFirst()
					.ifPresent(fleet.cutOffHosts::add)),

		/** Calls of the reading gateways are lost, and so are their answers. */
		READERS_LOSE_STORE(false, (fleet, readers) -> fleet.store.lostHosts.addAll(readers)),

		/** The store refuses a third of the gateways, and those that read. */
		THIRD_REFUSED(false, (fleet, readers) -> {
			fleet.refuseThird();
			fleet.store.refusedHosts.addAll(readers);
		});

		private final boolean stopsReaders;

		private final BiConsumer<SimulatedFleet, Set<String>> inject;

		Fault(boolean stopsReaders, BiConsumer<SimulatedFleet, Set<String>> inject) {
			this.stopsReaders = stopsReaders;
			this.inject = inject;
		}

	}

}
