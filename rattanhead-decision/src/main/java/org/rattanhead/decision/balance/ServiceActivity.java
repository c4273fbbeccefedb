package org.rattanhead.decision.balance;

/**
 * What a daemon knows of the work that all daemons place on a service.
 *
 * @param ageMillis the mean time since the last message of the daemons that place the
 * work, in milliseconds
 * @param othersPerMilli the estimated requests per millisecond that the others place
 * @param sliceStart where the share of this daemon starts, among the shares of all in the
 * order of their hosts, from 0 to 1
 * @param sliceWidth the share of this daemon, equal to the others'; 0 if the view is
 * incomplete or it places little
 */
public record ServiceActivity(double ageMillis, double othersPerMilli, double sliceStart, double sliceWidth) {

	/**
	 * Returns the part of an instance that belongs to the slice of this daemon.
	 * @param index the position of the instance in the active set
	 * @param active the number of instances in the active set
	 * @return the part, from 0 to 1
	 */
	double ownedPart(int index, int active) {
		double start = this.sliceStart * active;
		double end = start + this.sliceWidth * active;
		return Math.max(0, Math.min(end, index + 1) - Math.max(start, index));
	}

	/**
	 * Estimates how many requests of the others the view does not show, although they are
	 * still in progress.
	 * @param meanMillis the mean duration of a request
	 * @return the number
	 */
	double unseen(double meanMillis) {
		return this.othersPerMilli * meanMillis * (1 - remaining(meanMillis));
	}

	/**
	 * Estimates how many of the requests in the view are still in progress.
	 * @param meanMillis the mean duration of a request
	 * @return the share, from 0 to 1
	 */
	public double remaining(double meanMillis) {
		return Math.exp(-this.ageMillis / meanMillis);
	}

}
