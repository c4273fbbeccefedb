package org.rattanhead.platform.keyed;

import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * Decides when a daemon reads a stream. Of the daemons that receive each other's updates
 * one reads for all. A daemon that receives no updates, because it is cut off from the
 * others or because the reader failed, reads the stream itself.
 */
final class ReadSchedule {

	/**
	 * The pause after the first failed read, so that retries do not overload a store that
	 * is in trouble.
	 */
	private static final long RETRY_MILLIS = 300;

	/**
	 * The maximum pause after failed reads before it is lengthened at random, unless the
	 * period of the stream is longer. It is shorter than the time within which a host has
	 * to be in contact again.
	 */
	private static final long MAX_RETRY_MILLIS = 1_200;

	private static final int MAX_DOUBLINGS = 5;

	/**
	 * The maximum share by which pauses are lengthened at random, so that not all daemons
	 * replace a failed reader at the same time.
	 */
	private static final double SPREAD_SHARE = 0.3;

	private final FollowPlan plan;

	private final RandomGenerator random;

	private long dueNanos;

	private long readerUntilNanos;

	private long yieldUntilNanos;

	private int failures;

	/**
	 * Creates the schedule of one daemon for one stream; the first read is due
	 * immediately.
	 * @param plan the timing of reads
	 * @param random spreads the reads of the daemons in time
	 * @param nowNanos the time on the monotonic clock
	 */
	ReadSchedule(FollowPlan plan, RandomGenerator random, long nowNanos) {
		this.plan = plan;
		this.random = random;
		this.dueNanos = nowNanos;
		this.readerUntilNanos = nowNanos;
		this.yieldUntilNanos = nowNanos;
	}

	/**
	 * Schedules the next read after this daemon read the stream.
	 * @param nowNanos the time on the monotonic clock
	 */
	void readCompleted(long nowNanos) {
		this.failures = 0;
		if (nowNanos < this.yieldUntilNanos) {
			this.dueNanos = this.yieldUntilNanos;
			return;
		}
		this.dueNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(this.plan.periodMillis());
		this.readerUntilNanos = this.dueNanos
				+ TimeUnit.MILLISECONDS.toNanos(this.plan.waitMillis() + this.plan.yieldMillis());
	}

	/**
	 * Schedules the next read after a read of this daemon failed.
	 * @param nowNanos the time on the monotonic clock
	 */
	void readFailed(long nowNanos) {
		long pauseMillis = Math.min(RETRY_MILLIS << Math.min(this.failures, MAX_DOUBLINGS),
				Math.max(MAX_RETRY_MILLIS, this.plan.periodMillis()));
		this.failures++;
		this.dueNanos = nowNanos + spread(pauseMillis);
		this.readerUntilNanos = nowNanos;
	}

	/**
	 * Postpones the next read after an update from another daemon, unless this daemon
	 * continues to read.
	 * @param senderHasPriority whether that daemon continues to read if both daemons read
	 * @param nowNanos the time on the monotonic clock
	 */
	void updateReceived(boolean senderHasPriority, long nowNanos) {
		if (!isReader(nowNanos) || senderHasPriority) {
			this.yieldUntilNanos = nowNanos + spread(this.plan.yieldMillis());
			this.dueNanos = this.yieldUntilNanos;
			this.readerUntilNanos = nowNanos;
		}
	}

	/**
	 * Returns whether this daemon reads for the others.
	 * @param nowNanos the time on the monotonic clock
	 * @return true if it reads for the others
	 */
	boolean isReader(long nowNanos) {
		return nowNanos < this.readerUntilNanos;
	}

	/**
	 * Makes the next read due immediately.
	 * @param nowNanos the time on the monotonic clock
	 */
	void makeDue(long nowNanos) {
		this.dueNanos = nowNanos;
	}

	/**
	 * Returns the time until the next read is due.
	 * @param nowNanos the time on the monotonic clock
	 * @return milliseconds, 0 if it is due
	 */
	long delayMillis(long nowNanos) {
		long nanos = this.dueNanos - nowNanos;
		return (nanos <= 0) ? 0 : Math.max(1, TimeUnit.NANOSECONDS.toMillis(nanos));
	}

	private long spread(long millis) {
		return TimeUnit.MILLISECONDS.toNanos(millis + Math.round(millis * SPREAD_SHARE * this.random.nextDouble()));
	}

}
