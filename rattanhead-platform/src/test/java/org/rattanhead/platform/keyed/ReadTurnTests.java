package org.rattanhead.platform.keyed;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.rattanhead.core.keyed.KeyedStream;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * The number of daemons that read a stream, and the time until a failed reader is
 * replaced.
 */
class ReadTurnTests {

	private static final FollowPlan PLAN = new FollowPlan(KeyedStream.OPERATORS, 200, 700, 1_000);

	private static final long CHANGE_BOUND_MILLIS = 2_000;

	@ParameterizedTest(name = "{0} daemons, {1} of them cut off from the others")
	@CsvSource({ "1, 0", "8, 0", "86, 0", "8, 2", "86, 5" })
	void oneReadsForAllThatHearEachOther(int daemons, int alone) {
		Simulation simulation = new Simulation(daemons, alone);
		simulation.run(0, 3_000);
		simulation.reads = 0;
		simulation.run(3_000, 13_000);
		// One daemon reads in each period; so does each daemon that is cut off.
		assertThat(simulation.reads).isLessThanOrEqualTo((1 + alone) * (10_000L / 200 + 2));
	}

	@ParameterizedTest(name = "{0} daemons, {1} fail at the same time")
	@CsvSource({ "8, 1", "86, 1", "86, 60" })
	void othersReadInTimeWhenReadersDie(int daemons, int dying) {
		Simulation simulation = new Simulation(daemons, 0);
		simulation.run(0, 3_000);
		for (int daemon = 0; daemon < dying; daemon++) {
			simulation.dead.add(daemon);
		}
		simulation.run(3_000, 3_000 + CHANGE_BOUND_MILLIS);
		assertThat(simulation.firstReadAfterMillis(3_000)).isLessThan(CHANGE_BOUND_MILLIS - PLAN.waitMillis() / 2);
	}

	@ParameterizedTest(name = "after {0} failures within {1} ms")
	@CsvSource({ "1, 390", "2, 780", "3, 1560", "10, 1560" })
	void retriesAStoreInTroubleMoreAndMoreRarely(int failures, long mostMillis) {
		ReadTurn turn = new ReadTurn(PLAN, new Random(1), 0);
		for (int failure = 0; failure < failures; failure++) {
			turn.failed(0);
		}
		assertThat(turn.waitMillis(0)).isBetween(1L, mostMillis);
	}

	/**
	 * Daemons whose reads take no time, simulated in steps of a millisecond.
	 */
	private static final class Simulation {

		private final List<ReadTurn> turns = new ArrayList<>();

		private final List<Integer> dead = new ArrayList<>();

		private final List<Long> readMillis = new ArrayList<>();

		private final int alone;

		private long reads;

		Simulation(int daemons, int alone) {
			this.alone = alone;
			for (int daemon = 0; daemon < daemons; daemon++) {
				this.turns.add(new ReadTurn(PLAN, new Random(daemon), 0));
			}
		}

		void run(long fromMillis, long toMillis) {
			for (long now = fromMillis; now < toMillis; now++) {
				long nanos = TimeUnit.MILLISECONDS.toNanos(now);
				for (int daemon = 0; daemon < this.turns.size(); daemon++) {
					if (!this.dead.contains(daemon) && this.turns.get(daemon).waitMillis(nanos) == 0) {
						read(daemon, nanos);
						this.readMillis.add(now);
					}
				}
			}
		}

		long firstReadAfterMillis(long fromMillis) {
			return this.readMillis.stream().filter((read) -> read >= fromMillis).findFirst().orElse(Long.MAX_VALUE)
					- fromMillis;
		}

		private void read(int daemon, long nanos) {
			this.reads++;
			this.turns.get(daemon).completed(nanos);
			if (daemon >= this.turns.size() - this.alone) {
				return;
			}
			for (int other = 0; other < this.turns.size() - this.alone; other++) {
				if (other != daemon) {
					this.turns.get(other).heard(daemon < other, nanos);
				}
			}
		}

	}

}
