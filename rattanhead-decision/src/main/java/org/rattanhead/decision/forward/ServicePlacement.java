package org.rattanhead.decision.forward;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Places requests to plain services on the instance with the fewest requests per slot.
 */
final class ServicePlacement {

	/** Typical duration of a call to a plain service. */
	static final double USUAL_MILLIS = 50;

	private ServicePlacement() {
	}

	static Optional<PlacementPlan> place(PlacementQuery query, List<InstanceLoad> candidates, long nowNanos) {
		return candidates.stream()
			.min(Comparator.comparingDouble((load) -> share(load, 1)))
			.map(ServicePlacement::plan);
	}

	static PlacementPlan plan(InstanceLoad load) {
		return new PlacementPlan(load, List.of(), USUAL_MILLIS * Math.max(1, share(load, 1)), 0, 0, 0);
	}

	private static double share(InstanceLoad load, int added) {
		return (load.running() + added) / (double) Math.max(1, load.instance().slots());
	}

}
