package org.rattanhead.decision.room;

import java.util.random.RandomGenerator;

/**
 * Determines the Retry-After of a refused caller: when capacity is expected, with random
 * jitter so that callers refused together do not return together.
 */
public final class RetrySchedule {

	/** The shortest Retry-After. */
	private static final double MIN_MILLIS = 200;

	/** Callers wait at most this share of the time that they have left. */
	private static final double MAX_SHARE = 1 / 3.0;

	/** Jitter, as a share of the delay. */
	private static final double JITTER_SHARE = 0.4;

	/** Jitter after a short delay, so that the returns spread over several passes. */
	private static final double MIN_JITTER_MILLIS = 150;

	private final RandomGenerator random;

	/**
	 * Creates a schedule.
	 * @param random the seeded random generator
	 */
	public RetrySchedule(RandomGenerator random) {
		this.random = random;
	}

	/**
	 * Returns the delay to announce. If a third of the remaining time is below the
	 * minimum, the minimum is announced; callers wait only the third.
	 * @param capacityMillis the time until capacity is expected, in milliseconds
	 * @param remainingMillis the time that the caller has left, in milliseconds
	 * @return the delay, in milliseconds
	 */
	public long retryAfterMillis(double capacityMillis, long remainingMillis) {
		double latest = Math.max(MIN_MILLIS, MAX_SHARE * remainingMillis);
		double earliest = Math.min(latest, Math.max(MIN_MILLIS, capacityMillis));
		double jitter = Math.max(MIN_JITTER_MILLIS, JITTER_SHARE * earliest);
		// The jitter lies before the latest time if capacity is expected after it.
		double from = Math.max(MIN_MILLIS, Math.min(earliest, latest - jitter));
		double to = Math.min(latest, from + jitter);
		return (long) (from + this.random.nextDouble() * (to - from));
	}

	/**
	 * Returns how long the caller actually waits at most.
	 * @param retryAfterMillis the announced delay, in milliseconds
	 * @param remainingMillis the time that the caller has left, in milliseconds
	 * @return the time, in milliseconds
	 */
	public static long waitMillis(long retryAfterMillis, long remainingMillis) {
		return Math.min(retryAfterMillis, (long) (MAX_SHARE * remainingMillis));
	}

}
