package org.rattanhead.decision.forward;

/**
 * How long other instances are preferred to one that failed.
 */
final class Avoidance {

	/**
	 * How long an instance is avoided after a first failure; doubles with each
	 * consecutive one.
	 */
	private static final long AVOID_NANOS = 400_000_000L;

	private static final long MAX_AVOID_NANOS = 6_400_000_000L;

	private static final int MAX_DOUBLINGS = 4;

	private long untilNanos;

	private int failures;

	Avoidance(long nowNanos) {
		this.untilNanos = nowNanos;
	}

	void failed(long nowNanos) {
		long nanos = AVOID_NANOS << Math.min(this.failures, MAX_DOUBLINGS);
		this.failures++;
		this.untilNanos = nowNanos + Math.min(nanos, MAX_AVOID_NANOS);
	}

	void overloaded(long nowNanos) {
		extend(nowNanos + AVOID_NANOS / 2);
	}

	void extend(long nanos) {
		this.untilNanos = Math.max(this.untilNanos, nanos);
	}

	/**
	 * Admits one request at a time, after a time without requests, until one completes.
	 */
	void rampUp() {
		this.failures = Math.max(1, this.failures);
	}

	void succeeded() {
		this.failures = 0;
	}

	/**
	 * Returns whether other instances are preferred. After a failure the instance gets
	 * one request at a time until it completes one.
	 * @param awaited whether a response of the instance is awaited
	 * @param nowNanos the time on the monotonic clock
	 * @return true if it is avoided
	 */
	boolean active(boolean awaited, long nowNanos) {
		return nowNanos < this.untilNanos || (this.failures > 0 && awaited);
	}

}
