package org.rattanhead.decision.forward;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Cold servers, which sustain a number of requests a second from all daemons together.
 */
class ColdLimitTests {

	private static final long WINDOW_MILLIS = 1_000;

	private static final long COLD_MILLIS = 5_000;

	private static final long BEFORE_TROUBLE_MILLIS = 300;

	private static final double OVERAGE = 1.5;

	private static final double SLACK = 5;

	private static final double MIN_USED_SHARE = 0.7;

	enum Trouble {

		NONE, DAEMONS_RESTART, ALL_CUT_OFF

	}

	/**
	 * Guards against FAILBACK: daemons together send more than a cold server sustains.
	 */
	@ParameterizedTest(name = "{0} daemons, {1} a second, {2}")
	@CsvSource({ "1, 2, NONE", "1, 12, NONE", "8, 2, NONE", "16, 2, NONE", "16, 12, NONE", "16, 36, NONE",
			"1, 12, DAEMONS_RESTART", "16, 12, DAEMONS_RESTART", "16, 36, DAEMONS_RESTART", "8, 12, ALL_CUT_OFF",
			"16, 36, ALL_CUT_OFF" })
	void keepsColdLimitOverAllDaemons(int daemons, double perSecond, Trouble trouble) {
		LimitedFleet fleet = new LimitedFleet(daemons, 1, perSecond, 1);
		fleet.demand(300);
		fleet.advance(3_000);
		fleet.restart("o0", COLD_MILLIS);
		fleet.forget();
		fleet.advance(BEFORE_TROUBLE_MILLIS);
		if (trouble == Trouble.DAEMONS_RESTART) {
			fleet.hosts().forEach(fleet::start);
			fleet.count(daemons, daemons);
		}
		else if (trouble == Trouble.ALL_CUT_OFF) {
			fleet.connect((sender, receiver) -> false);
			fleet.count(daemons, 1);
		}
		fleet.advance(COLD_MILLIS - BEFORE_TROUBLE_MILLIS);
		assertThat((double) fleet.mostArrivals("o0", WINDOW_MILLIS)).isLessThanOrEqualTo(OVERAGE * perSecond + SLACK);
		if (trouble == Trouble.NONE) {
			assertThat(fleet.served()).isGreaterThanOrEqualTo((int) (MIN_USED_SHARE * perSecond * COLD_MILLIS / 1_000));
		}
		fleet.advance(BEFORE_TROUBLE_MILLIS);
		fleet.forget();
		fleet.advance(1_000);
		assertThat(fleet.served()).as("served of 300 once it is warm").isGreaterThan(150);
	}

}
