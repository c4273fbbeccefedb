package org.rattanhead.decision.balance;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.rattanhead.core.Millis;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

/**
 * What a daemon concludes from the messages of others when they stop, join or are cut
 * off.
 */
class PeerActivityTests {

	private static final double MEAN_MILLIS = 1_650;

	@ParameterizedTest(name = "{0}: {1} of 4 peers heard, {2} ms ago")
	@CsvSource({ "all fresh, 4, 0, 0, 0.2", "this daemon was frozen, 4, 1500, 1500, 0.2",
			"a peer is not heard, 3, 0, 750, 0", "a standby that hears one, 1, 0, 2250, 0" })
	void widensEstimateWithAge(String name, int heard, long ageMillis, double expectedAge, double sliceWidth) {
		PeerActivity activity = new PeerActivity("a");
		for (long millis = 0; millis < 10_000; millis += 100) {
			activity.placed("a", "s", Millis.toNanos(millis));
			for (int peer = 0; peer < heard; peer++) {
				activity.messageReceived("b" + peer, Millis.toNanos(millis));
				activity.placed("b" + peer, "s", Millis.toNanos(millis));
			}
		}
		ServiceActivity seen = activity.of("s", 5, Millis.toNanos(9_900 + ageMillis));
		assertThat(seen.ageMillis()).isCloseTo(expectedAge, within(1.0));
		assertThat(seen.sliceWidth()).isCloseTo(sliceWidth, within(0.001));
		assertThat(seen.othersPerMilli()).as("work of peers that are not heard counts").isCloseTo(0.04, within(0.008));
		assertThat(seen.unseen(MEAN_MILLIS)).isBetween(0.0, 0.048 * MEAN_MILLIS);
	}

	@ParameterizedTest(name = "{0}")
	@CsvSource({ "unresponsive, true, 0.333", "alive, false, 0.25" })
	void movesSliceWhenPeerIsLost(String name, boolean lost, double width) {
		PeerActivity activity = new PeerActivity("b");
		for (String host : new String[] { "a", "b", "c", "d" }) {
			activity.messageReceived(host, 0);
			activity.placed(host, "s", 0);
		}
		if (lost) {
			activity.lost("a");
		}
		ServiceActivity seen = activity.of("s", lost ? 3 : 4, 0);
		assertThat(seen.sliceWidth()).isCloseTo(width, within(0.001));
		assertThat(seen.sliceStart()).isCloseTo(lost ? 0 : 0.25, within(0.001));
	}

	@ParameterizedTest(name = "{0} added to 1, 2 and 5: level {1}")
	@CsvSource({ "0.5, 1.5", "1, 2", "3, 3", "10, 6" })
	void fillsLeastLoadedFirst(double added, double level) {
		assertThat(CandidateDraw.level(new double[] { 5, 1, 2 }, added)).isCloseTo(level, within(0.001));
	}

}
