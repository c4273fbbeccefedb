package org.rattanhead.decision.forward;

import java.util.List;
import java.util.Optional;

/**
 * Selects the instances for a request.
 */
@FunctionalInterface
interface InstancePlacement {

	/**
	 * Selects an instance, and helpers if they lower the cost.
	 * @param query the request
	 * @param candidates the instances that accept it, in the same order on all daemons
	 * @param nowNanos the time on the monotonic clock
	 * @return the plan, empty if no instance accepts the request
	 */
	Optional<PlacementPlan> place(PlacementQuery query, List<InstanceLoad> candidates, long nowNanos);

}
