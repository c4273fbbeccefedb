package org.rattanhead.decision.balance;

/**
 * Estimates the load of instances from a stale view. Work of this daemon counts fully.
 * Work of others that the view shows fades with its age, and an equal part of their
 * expected new work takes its place, so that the estimate approaches the mean.
 *
 * @param active the number of instances that receive short requests
 * @param remaining the share of the others' visible work that is still in progress
 * @param unseenPerInstance the others' expected work that the view does not show, on each
 * active instance
 * @param activity the activity that the estimate is based on
 */
public record LoadEstimate(int active, double remaining, double unseenPerInstance, ServiceActivity activity) {

	/**
	 * Load added to instances of other slices, so that a daemon leaves its slice only for
	 * a clear gain. Without it, 4 times as many arrivals were rejected with views up to
	 * 0.7 s old.
	 */
	private static final double OTHER_SLICE_LOAD = 1;

	/** The same in addition, if nothing in the view is in progress any more. */
	private static final double OTHER_SLICE_STALE_LOAD = 6;

	/**
	 * Estimates the requests on an instance.
	 * @param index the position of the instance among those of its service
	 * @param own the requests of this daemon
	 * @param others the requests of others in the view
	 * @return the number
	 */
	public double load(int index, int own, int others) {
		double unowned = 1 - ownedPart(index);
		double unseen = (index < this.active) ? this.unseenPerInstance * unowned : 0;
		double margin = (this.activity.sliceWidth() > 0)
				? (OTHER_SLICE_LOAD + OTHER_SLICE_STALE_LOAD * (1 - this.remaining)) * unowned : 0;
		return own + others * this.remaining + unseen + margin;
	}

	/**
	 * Returns the part of an instance that belongs to the slice of this daemon.
	 * @param index the position of the instance among those of its service
	 * @return the part, from 0 to 1
	 */
	double ownedPart(int index) {
		return (index < this.active) ? this.activity.ownedPart(index, this.active) : 0;
	}

}
