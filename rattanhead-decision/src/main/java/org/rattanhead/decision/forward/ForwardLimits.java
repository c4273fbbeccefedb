package org.rattanhead.decision.forward;

/**
 * Limits that all daemons share.
 *
 * @param retryRatio the retries allowed per request of a service
 * @param retrySlack the retries allowed in addition in one window, by all daemons
 * together
 * @param retryWindowMillis the window, in milliseconds
 * @param maxHoldMillis the longest time that memory may be reserved, in milliseconds
 */
public record ForwardLimits(double retryRatio, double retrySlack, long retryWindowMillis, long maxHoldMillis) {
}
