package org.rattanhead.bench;

import java.util.concurrent.TimeUnit;

import org.HdrHistogram.Histogram;

/**
 * What a closed loop measured.
 *
 * @param requests the number of requests
 * @param elapsedNanos how long they took together, in nanoseconds
 * @param latencyNanos how long each took, in nanoseconds
 * @param failed how many were refused or failed
 */
record LoopResult(int requests, long elapsedNanos, Histogram latencyNanos, int failed) {

	private static final double NANOS_PER_MICRO = 1_000;

	LoopResult requireNoFailures() {
		if (this.failed > 0) {
			throw new IllegalStateException(this.failed + " requests failed; the figures would be wrong");
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
