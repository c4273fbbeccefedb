package org.rattanhead.decision.balance;

import org.rattanhead.core.Millis;

/**
 * The exponentially weighted rate at which a daemon places requests.
 */
final class PlacementRate {

	/**
	 * The period over which the rate is averaged. Shorter periods move the slices of all
	 * daemons with the random variation of the arrivals.
	 */
	private static final double PERIOD_MILLIS = 10_000;

	private final long startNanos;

	private double sum;

	private long updatedNanos;

	PlacementRate(long nowNanos) {
		this.startNanos = nowNanos;
		this.updatedNanos = nowNanos;
	}

	void count(long nowNanos) {
		this.sum = decayed(nowNanos) + 1;
		this.updatedNanos = Math.max(this.updatedNanos, nowNanos);
	}

	/**
	 * Returns the rate. In the first period it refers to the time since the first
	 * request, so that a new daemon is not underestimated.
	 * @param nowNanos the time on the monotonic clock
	 * @return the requests per millisecond
	 */
	double perMilli(long nowNanos) {
		double observedMillis = Math.max(0, nowNanos - this.startNanos) / (double) Millis.toNanos(1);
		double weightMillis = PERIOD_MILLIS * (1 - Math.exp(-observedMillis / PERIOD_MILLIS));
		return decayed(nowNanos) / Math.max(PERIOD_MILLIS / 10, weightMillis);
	}

	private double decayed(long nowNanos) {
		double ageMillis = Math.max(0, nowNanos - this.updatedNanos) / (double) Millis.toNanos(1);
		return this.sum * Math.exp(-ageMillis / PERIOD_MILLIS);
	}

}
