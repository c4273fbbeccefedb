package org.rattanhead.decision.rank;

/**
 * The share of a retry budget that a request may use, so that the most urgent rank still
 * finds some when the others have used theirs.
 */
public final class RetryShare {

	/**
	 * The share that each rank leaves to the ranks before it. With 0.2 the third rank of
	 * three still has half of the budget.
	 */
	private static final double RESERVED_SHARE = 0.2;

	/** However many ranks there are, a request of the last may be sent once more. */
	private static final double LEAST_SHARE = 0.3;

	private RetryShare() {
	}

	/**
	 * Returns the share of the budget that a request may use.
	 * @param rank the rank of the request
	 * @param most the share that the most urgent rank may use
	 * @return the share
	 */
	public static double of(RequestRank rank, double most) {
		return Math.max(LEAST_SHARE, most - RESERVED_SHARE * rank.position());
	}

}
