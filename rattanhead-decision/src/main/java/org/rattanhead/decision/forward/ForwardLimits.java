package org.rattanhead.decision.forward;

/**
 * Limits on retries and memory reservations, and the sizes of the fleet from which load
 * is placed evenly and requests are refused for lack of capacity; the same on every
 * daemon.
 *
 * @param retryRatio the retries allowed in a window, as a fraction of the requests to the
 * service in it
 * @param retrySlack the retries allowed in addition in one window, by all daemons
 * together
 * @param retryWindowMillis the length of the sliding window, in milliseconds
 * @param maxHoldMillis the longest time that memory may be reserved, in milliseconds
 * @param evenLoadFrom the number of daemons from which load is placed evenly on a stale
 * view
 * @param refuseFrom the number of daemons from which requests that no instance can
 * complete in time are refused at once
 */
public record ForwardLimits(double retryRatio, double retrySlack, long retryWindowMillis, long maxHoldMillis,
		int evenLoadFrom, int refuseFrom) {

	/** The smallest fleet with daemons that do not serve. */
	public static final int DEFAULT_EVEN_LOAD_FROM = 17;

	/** Smaller fleets hold and send requests as long as their deadline allows. */
	public static final int DEFAULT_REFUSE_FROM = 17;

	/**
	 * Creates limits with the default sizes of the fleet.
	 * @param retryRatio the retries allowed in a window, as a fraction of the requests
	 * @param retrySlack the retries allowed in addition in one window
	 * @param retryWindowMillis the length of the sliding window, in milliseconds
	 * @param maxHoldMillis the longest time that memory may be reserved, in milliseconds
	 */
	public ForwardLimits(double retryRatio, double retrySlack, long retryWindowMillis, long maxHoldMillis) {
		this(retryRatio, retrySlack, retryWindowMillis, maxHoldMillis, DEFAULT_EVEN_LOAD_FROM, DEFAULT_REFUSE_FROM);
	}

}
