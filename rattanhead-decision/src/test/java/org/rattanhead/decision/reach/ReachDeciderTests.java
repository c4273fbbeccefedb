package org.rattanhead.decision.reach;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Which troubles strand a daemon, and for how long.
 */
class ReachDeciderTests {

	private static final int SEEDS = 100;

	private static final long WARM_UP_MILLIS = 5_000;

	/**
	 * The time from which the callers of such a daemon have to be served as others are.
	 */
	private static final long FOUND_MILLIS = 3_000;

	private static final long RETURN_MILLIS = 1_000;

	/** Guards against RECOVER: a daemon that accepts callers and reaches no instance. */
	@ParameterizedTest
	@EnumSource(value = LinkTrouble.class, names = { "CUT", "NEW_CONNECTIONS_REFUSED" })
	void findsLostLinksAndTheirReturn(LinkTrouble trouble) {
		for (int seed = 1; seed <= SEEDS; seed++) {
			SimulatedLinks links = started(seed);
			links.run(FOUND_MILLIS, trouble);
			assertThat(links.decider.state()).as("seed %d", seed).isEqualTo(ReachState.STRANDED);
			links.run(10_000, trouble);
			assertThat(links.decider.state()).as("later, seed %d", seed).isEqualTo(ReachState.STRANDED);
			links.run(RETURN_MILLIS, LinkTrouble.NONE);
			assertThat(links.decider.state()).as("after the return, seed %d", seed).isEqualTo(ReachState.REACHING);
		}
	}

	/** Guards against daemons that all step aside, or step aside for another fault. */
	@ParameterizedTest
	@EnumSource(value = LinkTrouble.class, names = { "CUT", "NEW_CONNECTIONS_REFUSED" }, mode = EnumSource.Mode.EXCLUDE)
	void isNotStrandedByOtherTroubles(LinkTrouble trouble) {
		for (int seed = 1; seed <= SEEDS; seed++) {
			SimulatedLinks links = started(seed);
			links.run(12_000, trouble);
			assertThat(links.strandedSteps()).as("seed %d", seed).isZero();
			links.run(RETURN_MILLIS, LinkTrouble.NONE);
			assertThat(links.decider.state()).as("after the return, seed %d", seed).isEqualTo(ReachState.REACHING);
		}
	}

	/** Guards against a daemon that stays aside though nobody else answers callers. */
	@ParameterizedTest
	@EnumSource(value = LinkTrouble.class, names = { "INSTANCES_GONE", "PEERS_NOT_READY", "CUT_FROM_ALL" })
	void isNoLongerStrandedOnceNoOtherReachesInstances(LinkTrouble trouble) {
		for (int seed = 1; seed <= SEEDS; seed++) {
			SimulatedLinks links = started(seed);
			links.run(FOUND_MILLIS, LinkTrouble.CUT);
			links.run(3_000, trouble);
			assertThat(links.decider.state()).as("seed %d", seed).isEqualTo(ReachState.SUSPECTED);
		}
	}

	/** Guards against many probes, each of which is a new connection. */
	@ParameterizedTest(name = "{0}: at most {1} probes in 12 s")
	@CsvSource({ "NONE, 0", "IDLE, 0", "ONE_DOMAIN_CUT, 24", "ONE_SERVICE_CUT, 24", "ONE_INSTANCE_SILENT, 24",
			"CUT, 60", "INSTANCES_GONE, 100", "OUTCOMES_LOST, 100" })
	void limitsProbes(LinkTrouble trouble, int probes) {
		for (int seed = 1; seed <= SEEDS; seed++) {
			SimulatedLinks links = started(seed);
			links.run(12_000, trouble);
			assertThat(links.probes()).as("seed %d", seed).isLessThanOrEqualTo(probes);
		}
	}

	/** Guards against a daemon that stays aside after a link that comes and goes. */
	@ParameterizedTest(name = "cut for {0} ms, back for {1} ms")
	@CsvSource({ "300, 700", "700, 300", "1500, 1500", "3000, 500" })
	void followsAFlappingLink(long cutMillis, long backMillis) {
		for (int seed = 1; seed <= SEEDS; seed++) {
			SimulatedLinks links = started(seed);
			for (int round = 0; round < 5; round++) {
				links.run(cutMillis, LinkTrouble.CUT);
				links.run(backMillis, LinkTrouble.NONE);
			}
			links.run(RETURN_MILLIS, LinkTrouble.NONE);
			assertThat(links.decider.state()).as("seed %d", seed).isEqualTo(ReachState.REACHING);
		}
	}

	private static SimulatedLinks started(int seed) {
		SimulatedLinks links = new SimulatedLinks(seed);
		links.run(WARM_UP_MILLIS, LinkTrouble.NONE);
		return links;
	}

}
