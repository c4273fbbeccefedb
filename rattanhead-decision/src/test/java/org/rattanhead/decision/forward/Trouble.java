package org.rattanhead.decision.forward;

/**
 * Trouble of a {@link CrashingFleet} beside the crashes.
 */
@FunctionalInterface
interface Trouble {

	/**
	 * Called once in each second.
	 * @param fleet the fleet
	 * @param second the second, from 0
	 */
	void apply(CrashingFleet fleet, long second);

}
