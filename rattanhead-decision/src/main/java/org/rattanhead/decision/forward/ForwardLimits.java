package org.rattanhead.decision.forward;

/**
 * Limits on retries and memory reservations, and the switch of the even placement, the
 * same on every daemon.
 *
 * @param retryRatio the retries allowed in a window, as a fraction of the requests to the
 * service in it
 * @param retrySlack the retries allowed in addition in one window, by all daemons
 * together
 * @param retryWindowMillis the length of the sliding window, in milliseconds
 * @param maxHoldMillis the longest time that memory may be reserved, in milliseconds
 * @param evenLoadFrom the number of daemons from which load is placed evenly on a stale
 * view
 */
public record ForwardLimits(double retryRatio, double retrySlack, long retryWindowMillis, long maxHoldMillis,
		int evenLoadFrom) {

	/** The smallest fleet with daemons that do not serve. */
	public static final int DEFAULT_EVEN_LOAD_FROM = 17;

	/**
	 * Creates limits with the default switch of the even placement.
	 * @param retryRatio the retries allowed in a window, as a fraction of the requests
	 * @param retrySlack the retries allowed in addition in one window
	 * @param retryWindowMillis the length of the sliding window, in milliseconds
	 * @param maxHoldMillis the longest time that memory may be reserved, in milliseconds
	 */
	public ForwardLimits(double retryRatio, double retrySlack, long retryWindowMillis, long maxHoldMillis) {
		this(retryRatio, retrySlack, retryWindowMillis, maxHoldMillis, DEFAULT_EVEN_LOAD_FROM);
	}

}
