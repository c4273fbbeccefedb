package org.rattanhead.decision.rank;

/**
 * The rank of a request among the ranks in use in its service.
 *
 * @param rank the effective rank, 0 is the most urgent
 * @param position the number of distinct ranks in use that are more urgent
 * @param ranks the number of distinct ranks in use
 */
public record RequestRank(int rank, int position, int ranks) {

	/**
	 * Returns whether the service distinguishes ranks.
	 * @return false if all its requests have the same rank
	 */
	public boolean active() {
		return this.ranks > 1;
	}

	/**
	 * Returns the factor of the worth of the request. It halves with each rank in use
	 * that is more urgent.
	 * @return the factor, 1 for the most urgent rank
	 */
	public double weight() {
		return Math.scalb(1.0, -this.position);
	}

}
