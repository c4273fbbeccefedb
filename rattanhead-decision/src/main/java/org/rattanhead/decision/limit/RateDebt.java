package org.rattanhead.decision.limit;

import java.util.random.RandomGenerator;

/**
 * The requests that were started on an instance ahead of its rate, whoever started them.
 * Starts of several daemons at the same moment are paid back by a longer wait. A random
 * delay before each start keeps daemons that wait from starting together; the rate stays
 * the same, since the debt goes on to fall in the meantime.
 */
final class RateDebt {

	/** The time within which debt is paid back. */
	private static final double WINDOW_SECONDS = 4;

	/** Starts that may come early after a time without any. */
	private static final double MIN_CREDIT = 1;

	private static final double CREDIT_SECONDS = 0.2;

	/** The random delay, as a part of the time between two starts. */
	private static final double DELAY_SHARE = 0.5;

	private static final double NANOS_PER_SECOND = 1_000_000_000;

	private static final double MILLIS_PER_SECOND = 1_000;

	private final RandomGenerator random;

	private double requests = 1;

	private double delayRequests;

	/** Fades over the window; at the rate it is the starts of one window. */
	private double recentStarts;

	private long asOfNanos;

	/**
	 * Creates the debt of an instance that is assumed to be fully used.
	 * @param random the seeded random generator
	 * @param limitPerSecond the limit of the instance
	 * @param nowNanos the time on the monotonic clock
	 */
	RateDebt(RandomGenerator random, double limitPerSecond, long nowNanos) {
		this.random = random;
		this.recentStarts = WINDOW_SECONDS * limitPerSecond;
		this.asOfNanos = nowNanos;
	}

	/**
	 * Lets debt fall until now.
	 * @param perSecond the rate
	 * @param nowNanos the time on the monotonic clock
	 */
	void advance(double perSecond, long nowNanos) {
		double seconds = Math.max(0, nowNanos - this.asOfNanos) / NANOS_PER_SECOND;
		double credit = Math.max(MIN_CREDIT, CREDIT_SECONDS * perSecond);
		this.requests = Math.max(-credit, this.requests - seconds * perSecond);
		this.recentStarts *= Math.exp(-seconds / WINDOW_SECONDS);
		this.asOfNanos = nowNanos;
	}

	/**
	 * Counts a start.
	 * @param limitPerSecond the limit of the instance
	 */
	void started(double limitPerSecond) {
		this.requests = Math.min(this.requests + 1, Math.max(1, WINDOW_SECONDS * limitPerSecond));
		this.delayRequests = DELAY_SHARE * this.random.nextDouble();
		this.recentStarts++;
	}

	/**
	 * Returns when this daemon may start the next request.
	 * @param perSecond the rate
	 * @return the time in milliseconds, 0 if it may start one now
	 */
	double waitMillis(double perSecond) {
		return Math.max(0, (this.requests + this.delayRequests) / perSecond * MILLIS_PER_SECOND);
	}

	/**
	 * Returns how many requests were started recently.
	 * @return the number a second
	 */
	double startsPerSecond() {
		return this.recentStarts / WINDOW_SECONDS;
	}

}
