package org.rattanhead.platform.keyed;

import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * Decides when a daemon reads a stream, so that of the daemons that hear each other one
 * reads for all. A daemon that hears of no reads, because it is cut off or because the
 * reader died, reads for itself.
 */
final class ReadTurn {

	/**
	 * The pause after the first failed read, so that a store in trouble is not pressed.
	 */
	private static final long RETRY_MILLIS = 300;

	/**
	 * The longest pause after failed reads, unless the stream is read more rarely; under
	 * the time in which a host has to be in touch again.
	 */
	private static final long MAX_RETRY_MILLIS = 1_200;

	private static final int MAX_DOUBLINGS = 5;

	/**
	 * The part by which pauses are lengthened at random, so that the daemons do not
	 * replace a dead reader all at once.
	 */
	private static final double SPREAD_SHARE = 0.3;

	private final FollowPlan plan;

	private final RandomGenerator random;

	private long dueNanos;

	private long readerUntilNanos;

	private long yieldUntilNanos;

	private int failures;

	/**
	 * Creates the turns of one daemon on one stream; the first read is due at once.
	 * @param plan how the stream is followed
	 * @param random spreads the reads of the daemons
	 * @param nowNanos the time on the monotonic clock
	 */
	ReadTurn(FollowPlan plan, RandomGenerator random, long nowNanos) {
		this.plan = plan;
		this.random = random;
		this.dueNanos = nowNanos;
		this.readerUntilNanos = nowNanos;
		this.yieldUntilNanos = nowNanos;
	}

	/**
	 * Notes that this daemon read the stream.
	 * @param nowNanos the time on the monotonic clock
	 */
	void completed(long nowNanos) {
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
	 * Notes that a read of this daemon failed.
	 * @param nowNanos the time on the monotonic clock
	 */
	void failed(long nowNanos) {
		long pauseMillis = Math.min(RETRY_MILLIS << Math.min(this.failures, MAX_DOUBLINGS),
				Math.max(MAX_RETRY_MILLIS, this.plan.periodMillis()));
		this.failures++;
		this.dueNanos = nowNanos + spread(pauseMillis);
		this.readerUntilNanos = nowNanos;
	}

	/**
	 * Notes that another daemon read the stream.
	 * @param prior whether that daemon goes on if both read
	 * @param nowNanos the time on the monotonic clock
	 */
	void heard(boolean prior, long nowNanos) {
		if (!reader(nowNanos) || prior) {
			this.yieldUntilNanos = nowNanos + spread(this.plan.yieldMillis());
			this.dueNanos = this.yieldUntilNanos;
			this.readerUntilNanos = nowNanos;
		}
	}

	/**
	 * Tells whether this daemon reads for the others.
	 * @param nowNanos the time on the monotonic clock
	 * @return true if it does
	 */
	boolean reader(long nowNanos) {
		return nowNanos < this.readerUntilNanos;
	}

	/**
	 * Makes the next read due at once.
	 * @param nowNanos the time on the monotonic clock
	 */
	void due(long nowNanos) {
		this.dueNanos = nowNanos;
	}

	/**
	 * Returns how long the next read has to wait.
	 * @param nowNanos the time on the monotonic clock
	 * @return milliseconds, 0 if it is due
	 */
	long waitMillis(long nowNanos) {
		long nanos = this.dueNanos - nowNanos;
		return (nanos <= 0) ? 0 : Math.max(1, TimeUnit.NANOSECONDS.toMillis(nanos));
	}

	private long spread(long millis) {
		return TimeUnit.MILLISECONDS.toNanos(millis + Math.round(millis * SPREAD_SHARE * this.random.nextDouble()));
	}

}
