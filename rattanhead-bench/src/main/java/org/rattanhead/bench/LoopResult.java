package org.rattanhead.bench;

import java.util.concurrent.TimeUnit;

import org.HdrHistogram.Histogram;

/**
 * Measurements of a closed loop.
 *
 * @param requests the number of requests
 * @param elapsedNanos time from the first call to the last end, in nanoseconds
 * @param latencyNanos time of each request, failed ones included, in nanoseconds
 * @param failed the number of refused or failed requests
 */
record LoopResult(int requests, long elapsedNanos, Histogram latencyNanos, int failed) {

	private static final double NANOS_PER_MICRO = 1_000;

	LoopResult requireNoFailures() {
		if (this.failed > 0) {
			throw new IllegalStateException(this.failed + " requests failed; the measurement is not valid");
		}
		return this;
	}

	double requestsPerSecond() {
		return (this.requests - this.failed) * (double) TimeUnit.SECONDS.toNanos(1) / this.elapsedNanos;
	}

	double latencyMicros(double percentile) {
		return this.latencyNanos.getValueAtPercentile(percentile) / NANOS_PER_MICRO;
	}

}
