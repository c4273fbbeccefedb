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
class ServingTurnTests {

	private static final long BEAT_MILLIS = 700;

	@ParameterizedTest(name = "{0} daemons: at least {1} serve after one heartbeat period, {2} after 21")
	@CsvSource({ "1, 1, 1", "9, 9, 9", "24, 24, 24", "86, 12, 24", "1400, 12, 24" })
	void enoughServe(int daemons, int soon, int steady) {
		Fleet fleet = new Fleet(daemons);
		fleet.beat();
		assertThat(fleet.serving()).isGreaterThanOrEqualTo(soon);
		fleet.beats(20);
		assertThat(fleet.serving()).isEqualTo(steady);
	}

	@ParameterizedTest(name = "{1} of {0} daemons fail: at least {2} serve after 3 heartbeat periods")
	@CsvSource({ "9, 4, 5", "86, 1, 23", "86, 13, 20", "86, 70, 16" })
	void othersTakeOver(int daemons, int dying, int soon) {
		Fleet fleet = new Fleet(daemons);
		fleet.beats(20);
		fleet.kill(dying);
		fleet.beats(3);
		assertThat(fleet.serving()).isGreaterThanOrEqualTo(soon);
		fleet.beats(20);
		assertThat(fleet.serving()).isEqualTo(Math.min(ServingTurn.SERVING_DAEMONS, daemons - dying));
	}

	/**
	 * Daemons that receive heartbeats without delay and send them one after the other.
	 */
	private static final class Fleet {

		private final List<ServingTurn> turns = new ArrayList<>();

		private final List<Boolean> serving = new ArrayList<>();

		private long nowMillis;

		Fleet(int daemons) {
			for (int daemon = 0; daemon < daemons; daemon++) {
				this.turns.add(new ServingTurn(new SplittableRandom(daemon)));
				this.serving.add(false);
			}
		}

		void beats(int count) {
			for (int beat = 0; beat < count; beat++) {
				beat();
			}
		}

		void beat() {
			this.nowMillis += BEAT_MILLIS;
			for (int daemon = 0; daemon < this.turns.size(); daemon++) {
				int others = serving() - (this.serving.get(daemon) ? 1 : 0);
				int before = (int) this.serving.subList(0, daemon).stream().filter((serves) -> serves).count();
				this.serving.set(daemon, this.turns.get(daemon)
					.update(others, before, this.turns.size() - others, Millis.toNanos(this.nowMillis)));
			}
		}

		void kill(int count) {
			this.turns.subList(0, count).clear();
			this.serving.subList(0, count).clear();
		}

		int serving() {
			return (int) this.serving.stream().filter((serves) -> serves).count();
		}

	}

}
