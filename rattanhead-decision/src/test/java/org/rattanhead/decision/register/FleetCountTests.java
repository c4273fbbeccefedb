package org.rattanhead.decision.register;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.rattanhead.core.Millis;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * The number of daemons that switches the even placement. Guards against a small fleet
 * that counts former daemons, and a large one that forgets those on standby.
 */
class FleetCountTests {

	@ParameterizedTest(name = "{0}: {1} serve, {2} alive, {3} known")
	@CsvSource({ "small with old announcements, 8, 8, 40, 8", "starting, 9, 12, 73, 12", "large, 16, 23, 73, 73",
			"two standbys, 16, 16, 18, 18" })
	void countsStandbyDaemons(String name, int serving, int alive, int known, int expected) {
		assertThat(new FleetCount().update(serving, alive, known, 0)).isEqualTo(expected);
	}

	@ParameterizedTest(name = "{0} serve for {1} s: {2}")
	@CsvSource({ "16, 700, 18", "15, 3, 18", "15, 20, 15" })
	void keepsCountWhileServingDaemonIsReplaced(int serving, long seconds, int expected) {
		FleetCount count = new FleetCount();
		count.update(16, 16, 18, 0);
		assertThat(count.update(serving, serving, serving, Millis.toNanos(seconds * 1_000))).isEqualTo(expected);
	}

}
