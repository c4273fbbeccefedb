package org.rattanhead.decision.register;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.rattanhead.core.Millis;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * How many daemons of a fleet serve, after its start and after the failure of some.
 */
class ServingDeciderTests {

	private static final long HEARTBEAT_PERIOD_MILLIS = 700;

	@ParameterizedTest(name = "{0} daemons: at least {1} serve after one heartbeat period, {2} after 21")
	@CsvSource({ "1, 1, 1", "9, 9, 9", "24, 24, 24", "86, 12, 24", "1400, 12, 24" })
	void reachesTheIntendedNumberOfServingDaemons(int daemons, int early, int eventually) {
		SimulatedFleet fleet = new SimulatedFleet(daemons);
		fleet.runHeartbeatPeriod();
		assertThat(fleet.serving()).isGreaterThanOrEqualTo(early);
		fleet.runHeartbeatPeriods(20);
		assertThat(fleet.serving()).isEqualTo(eventually);
	}

	@ParameterizedTest(name = "{1} of {0} daemons fail: at least {2} serve after 3 heartbeat periods")
	@CsvSource({ "9, 4, 5", "86, 1, 23", "86, 13, 20", "86, 70, 16" })
	void replacesFailedServingDaemons(int daemons, int failing, int early) {
		SimulatedFleet fleet = new SimulatedFleet(daemons);
		fleet.runHeartbeatPeriods(20);
		fleet.fail(failing);
		fleet.runHeartbeatPeriods(3);
		assertThat(fleet.serving()).isGreaterThanOrEqualTo(early);
		fleet.runHeartbeatPeriods(20);
		assertThat(fleet.serving()).isEqualTo(Math.min(ServingDecider.SERVING_DAEMONS, daemons - failing));
	}

	/**
	 * Daemons that receive heartbeats without delay and send them one after the other.
	 */
	private static final class SimulatedFleet {

		private final List<ServingDecider> deciders = new ArrayList<>();

		private final List<Boolean> serving = new ArrayList<>();

		private long nowMillis;

		SimulatedFleet(int daemons) {
			for (int daemon = 0; daemon < daemons; daemon++) {
				this.deciders.add(new ServingDecider(new SplittableRandom(daemon)));
				this.serving.add(false);
			}
		}

		void runHeartbeatPeriods(int count) {
			for (int period = 0; period < count; period++) {
				runHeartbeatPeriod();
			}
		}

		void runHeartbeatPeriod() {
			this.nowMillis += HEARTBEAT_PERIOD_MILLIS;
			for (int daemon = 0; daemon < this.deciders.size(); daemon++) {
				int others = serving() - (this.serving.get(daemon) ? 1 : 0);
				int preceding = (int) this.serving.subList(0, daemon).stream().filter((serves) -> serves).count();
				this.serving.set(daemon, this.deciders.get(daemon)
					.update(others, preceding, this.deciders.size() - others, Millis.toNanos(this.nowMillis)));
			}
		}

		void fail(int count) {
			this.deciders.subList(0, count).clear();
			this.serving.subList(0, count).clear();
		}

		int serving() {
			return (int) this.serving.stream().filter((serves) -> serves).count();
		}

	}

}
