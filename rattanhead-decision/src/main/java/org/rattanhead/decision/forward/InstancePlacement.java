package org.rattanhead.decision.forward;

import java.util.List;
import java.util.Optional;

/**
 * Chooses where a request goes.
 */
@FunctionalInterface
interface InstancePlacement {

	/**
	 * Chooses an instance, and helpers if they pay.
	 * @param query the request
	 * @param candidates the instances that may take it, in the same order on all daemons
	 * @param nowNanos the time on the monotonic clock
	 * @return the plan, empty if no instance can take the request
	 */
	Optional<PlacementPlan> place(PlacementQuery query, List<InstanceLoad> candidates, long nowNanos);

}
