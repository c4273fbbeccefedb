package org.rattanhead.decision.balance;

/**
 * Computes how many instances short requests use. All daemons use the first ones of the
 * same list, so that the remaining instances stay idle for long prompts.
 *
 * @param slots the slots of an instance
 * @param slotShare the share of the slots to be used
 * @param meanMillis the mean duration of a request, in milliseconds
 */
public record ActiveSet(int slots, double slotShare, double meanMillis) {

	/**
	 * Additional instances, as a share of those needed, for arrivals that vary and for
	 * instances that are slow or read a long prompt.
	 */
	private static final double MARGIN_SHARE = 0.1;

	/**
	 * Estimates the load of the instances of a service.
	 * @param usable for each instance, in the order of the list, whether it can begin a
	 * request now
	 * @param own the requests of this daemon on all of them
	 * @param others the requests of other daemons in the view
	 * @param activity what is known of the other daemons
	 * @return the estimate
	 */
	public LoadEstimate estimate(boolean[] usable, int own, int others, ServiceActivity activity) {
		double remaining = activity.remaining(this.meanMillis);
		double unseen = activity.unseen(this.meanMillis);
		double needed = (own + others * remaining + unseen) / (this.slotShare * Math.max(1, this.slots));
		int active = firstWith(usable, (int) Math.ceil(needed * (1 + MARGIN_SHARE)) + 1);
		return new LoadEstimate(active, remaining, unseen / Math.max(1, active), activity);
	}

	private static int firstWith(boolean[] usable, int needed) {
		int count = 0;
		int length = 0;
		while (length < usable.length && count < needed) {
			count += (usable[length]) ? 1 : 0;
			length++;
		}
		return length;
	}

}
