package org.rattanhead.platform.keyed;

import org.rattanhead.core.keyed.KeyedStream;

/**
 * The timing of reads of each stream. Large fleets are given more time than small ones to
 * put a configuration in force and to notice a leaving instance, and read less often.
 */
public final class FollowPlans {

	/**
	 * The fleet size from which the bounds of large deployments apply. Smaller fleets
	 * have no standby daemons.
	 */
	private static final int LARGE_FLEET = 17;

	/**
	 * A configuration has to be in force within 2 s. A daemon cut off from the others
	 * reads at most 1.7 s after the last update.
	 */
	private static final FollowPlan OPERATORS = new FollowPlan(KeyedStream.OPERATORS, 100, 700, 1_300, true);

	/**
	 * The bound is 3 s. A daemon cut off from the others reads at most 2.5 s after the
	 * last update.
	 */
	private static final FollowPlan OPERATORS_LARGE = new FollowPlan(KeyedStream.OPERATORS, 100, 1_200, 1_900, true);

	/**
	 * A leaving instance has to be noticed within 2 s. Reads do not wait, since instances
	 * repeat their entries so often that a waiting read returns at once.
	 */
	private static final FollowPlan INSTANCES = new FollowPlan(KeyedStream.INSTANCES, 750, 0, 1_300, true);

	/** The bound is 3 s. */
	private static final FollowPlan INSTANCES_LARGE = new FollowPlan(KeyedStream.INSTANCES, 1_000, 0, 1_900, true);

	/**
	 * Reads wait, since announcements are rare. The pause collects the announcements of
	 * daemons that start together. Daemons also learn of each other from heartbeats.
	 */
	private static final FollowPlan MEMBERS = new FollowPlan(KeyedStream.MEMBERS, 2_000, 7_000, 10_000, false);

	/**
	 * The fleet size below which the bounds of small deployments apply again. Daemons of
	 * a large fleet may not know of all standby daemons.
	 */
	private static final int SMALL_FLEET = 12;

	private volatile boolean large;

	/**
	 * Changes the number of daemons.
	 * @param daemons the number of known daemons, this one included
	 */
	public void updateFleetSize(int daemons) {
		this.large = daemons >= (this.large ? SMALL_FLEET : LARGE_FLEET);
	}

	/**
	 * Returns the current timing of reads of a stream.
	 * @param stream the stream
	 * @return the timing
	 */
	public FollowPlan plan(KeyedStream stream) {
		return switch (stream) {
			case OPERATORS -> this.large ? OPERATORS_LARGE : OPERATORS;
			case INSTANCES -> this.large ? INSTANCES_LARGE : INSTANCES;
			case MEMBERS -> MEMBERS;
		};
	}

}
