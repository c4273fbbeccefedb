package org.rattanhead.decision.forward;

import org.rattanhead.core.Millis;

/**
 * When an instance is expected to respond, and how its response times compare with the
 * predicted ones.
 */
final class ResponseTimes {

	/** The delay beyond the predicted time after which an instance is overdue. */
	private static final long OVERDUE_MARGIN_MILLIS = 500;

	private static final double OVERDUE_FACTOR = 2;

	/** Predictions below this are dominated by the network and by other work. */
	private static final double MIN_PREDICTED_MILLIS = 60;

	/** Slower responses than this, relative to the prediction, count as slow. */
	private static final double SLOW_FACTOR = 1.6;

	private static final double MAX_PACE = 6;

	/** The weight of a new response time. */
	private static final double SAMPLE_WEIGHT = 0.4;

	/** The time after which slowness observed earlier no longer counts. */
	private static final long PACE_RETENTION_MILLIS = 6_000;

	private long expectedByNanos = Long.MAX_VALUE;

	private double pace = 1;

	private long paceNanos;

	/**
	 * Records that work was sent.
	 * @param predictedMillis the predicted time to the first response, in milliseconds
	 * @param nowNanos the time on the monotonic clock
	 */
	void sent(double predictedMillis, long nowNanos) {
		if (this.expectedByNanos == Long.MAX_VALUE) {
			this.expectedByNanos = nowNanos
					+ Millis.toNanos(OVERDUE_MARGIN_MILLIS + Math.round(OVERDUE_FACTOR * predictedMillis));
		}
	}

	/**
	 * Stops expecting a response, because data arrived or the instance is already
	 * avoided.
	 */
	void clearExpected() {
		this.expectedByNanos = Long.MAX_VALUE;
	}

	/**
	 * Extends the expected time after a pause of this daemon, during which it could not
	 * receive anything.
	 * @param pauseNanos the duration of the pause
	 */
	void postpone(long pauseNanos) {
		if (this.expectedByNanos != Long.MAX_VALUE) {
			this.expectedByNanos += pauseNanos;
		}
	}

	boolean awaited() {
		return this.expectedByNanos != Long.MAX_VALUE;
	}

	boolean overdue(long nowNanos) {
		return nowNanos > this.expectedByNanos;
	}

	/**
	 * Records the time to the first data of a response.
	 * @param elapsedMillis the time since the request was sent, in milliseconds
	 * @param predictedMillis the time that was predicted, in milliseconds
	 * @param nowNanos the time on the monotonic clock
	 */
	void firstData(double elapsedMillis, double predictedMillis, long nowNanos) {
		double ratio = elapsedMillis / Math.max(MIN_PREDICTED_MILLIS, predictedMillis) * pace(nowNanos);
		double sample = (ratio < SLOW_FACTOR) ? 1 : Math.min(MAX_PACE, ratio);
		this.pace = pace(nowNanos) + SAMPLE_WEIGHT * (sample - pace(nowNanos));
		this.paceNanos = nowNanos;
	}

	/**
	 * Returns how much slower than predicted the instance responds.
	 * @param nowNanos the time on the monotonic clock
	 * @return the factor, 1 if it responds as predicted or has sent nothing recently
	 */
	double pace(long nowNanos) {
		double age = (nowNanos - this.paceNanos) / (double) Millis.toNanos(PACE_RETENTION_MILLIS);
		return 1 + (this.pace - 1) * Math.max(0, 1 - age);
	}

}
