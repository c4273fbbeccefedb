package org.rattanhead.decision.limit;

/**
 * The part of a limit that this daemon may use together with those whose load updates it
 * receives.
 *
 * @param daemons the daemons that share limits, this one included
 * @param heard those of them whose load updates this daemon receives, itself included
 */
public record FleetShare(int daemons, int heard) {

	/** The share of a daemon without others. */
	public static final FleetShare ALONE = new FleetShare(1, 1);

	/**
	 * Returns the part of a limit.
	 * @param settled whether this daemon has had time to learn what others started;
	 * before, it uses its own part only
	 * @return the part, at most 1
	 */
	double part(boolean settled) {
		return Math.min(1, (settled ? this.heard : 1) / (double) Math.max(1, this.daemons));
	}

}
