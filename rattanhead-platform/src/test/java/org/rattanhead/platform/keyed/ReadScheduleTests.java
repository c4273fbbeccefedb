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
class ReadScheduleTests {

	private static final FollowPlan PLAN = new FollowPlan(KeyedStream.OPERATORS, 200, 700, 1_000, false);

	private static final long CHANGE_BOUND_MILLIS = 2_000;

	@ParameterizedTest(name = "{0} daemons, {1} of them cut off from the others")
	@CsvSource({ "1, 0", "8, 0", "86, 0", "8, 2", "86, 5" })
	void oneDaemonReadsForAllThatAreConnected(int daemons, int isolated) {
		Simulation simulation = new Simulation(daemons, isolated);
		simulation.run(0, 3_000);
		simulation.reads = 0;
		simulation.run(3_000, 13_000);
		// One daemon reads in each period; so does each daemon that is cut off.
		assertThat(simulation.reads).isLessThanOrEqualTo((1 + isolated) * (10_000L / 200 + 2));
	}

	@ParameterizedTest(name = "{0} daemons, {1} fail at the same time")
	@CsvSource({ "8, 1", "86, 1", "86, 60" })
	void replacesFailedReadersWithinTheBound(int daemons, int failing) {
		Simulation simulation = new Simulation(daemons, 0);
		simulation.run(0, 3_000);
		for (int daemon = 0; daemon < failing; daemon++) {
			simulation.failed.add(daemon);
		}
		simulation.run(3_000, 3_000 + CHANGE_BOUND_MILLIS);
		assertThat(simulation.firstReadAfterMillis(3_000)).isLessThan(CHANGE_BOUND_MILLIS - PLAN.waitMillis() / 2);
	}

	@ParameterizedTest(name = "after {0} failures within {1} ms")
	@CsvSource({ "1, 390", "2, 780", "3, 1560", "10, 1560" })
	void boundsThePauseAfterFailures(int failures, long maxMillis) {
		ReadSchedule schedule = new ReadSchedule(() -> PLAN, new Random(1), 0);
		for (int failure = 0; failure < failures; failure++) {
			schedule.readFailed(0, true, false);
		}
		assertThat(schedule.delayMillis(0)).isBetween(1L, maxMillis);
	}

	/**
	 * Daemons whose reads take no time, simulated in steps of a millisecond.
	 */
	private static final class Simulation {

		private final List<ReadSchedule> schedules = new ArrayList<>();

		private final List<Integer> failed = new ArrayList<>();

		private final List<Long> readMillis = new ArrayList<>();

		private final int isolated;

		private long reads;

		Simulation(int daemons, int isolated) {
			this.isolated = isolated;
			for (int daemon = 0; daemon < daemons; daemon++) {
				this.schedules.add(new ReadSchedule(() -> PLAN, new Random(daemon), 0));
			}
		}

		void run(long fromMillis, long toMillis) {
			for (long now = fromMillis; now < toMillis; now++) {
				long nanos = TimeUnit.MILLISECONDS.toNanos(now);
				for (int daemon = 0; daemon < this.schedules.size(); daemon++) {
					if (!this.failed.contains(daemon) && this.schedules.get(daemon).delayMillis(nanos) == 0) {
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
			this.schedules.get(daemon).readCompleted(nanos);
			if (daemon >= this.schedules.size() - this.isolated) {
				return;
			}
			for (int other = 0; other < this.schedules.size() - this.isolated; other++) {
				if (other != daemon) {
					this.schedules.get(other).updateReceived(daemon < other, false, nanos);
				}
			}
		}

	}

}
