package org.rattanhead.decision.forward;

/**
 * Limits on retries and memory reservations, the same on every daemon.
 *
 * @param retryRatio the retries allowed in a window, as a fraction of the requests to the
 * service in it
 * @param retrySlack the retries allowed in addition in one window, by all daemons
 * together
 * @param retryWindowMillis the length of the sliding window, in milliseconds
 * @param maxHoldMillis the longest time that memory may be reserved, in milliseconds
 */
public record ForwardLimits(double retryRatio, double retrySlack, long retryWindowMillis, long maxHoldMillis) {
}
