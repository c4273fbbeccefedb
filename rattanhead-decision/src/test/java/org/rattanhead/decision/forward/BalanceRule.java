package org.rattanhead.decision.forward;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Random;

import org.rattanhead.core.forward.ServiceLimits;

/**
 * The rules that the balancing simulation compares.
 */
enum BalanceRule {

	EVEN, PREVIOUS, RANDOM, TWO_CHOICES, PERFECT_VIEW;

	Optional<PlacementPlan> place(UpstreamFleet fleet, ServiceLimits service, PlacementQuery query,
			List<InstanceLoad> candidates, Random random, long nowNanos) {
		boolean engine = query.engine().isPresent();
		InstancePlacement costs = engine ? EnginePlacement::place : ServicePlacement::place;
		return switch (this) {
			case EVEN, PERFECT_VIEW -> new EvenPlacement(fleet, service, random).place(query, candidates, nowNanos);
			case PREVIOUS -> costs.place(query, candidates, nowNanos);
			case RANDOM -> costs.place(query, List.of(any(candidates, random)), nowNanos);
			case TWO_CHOICES -> {
				List<InstanceLoad> two = List.of(any(candidates, random), any(candidates, random));
				yield costs.place(query,
						List.of(two.stream().min(Comparator.comparingInt(InstanceLoad::running)).orElseThrow()),
						nowNanos);
			}
		};
	}

	private static InstanceLoad any(List<InstanceLoad> candidates, Random random) {
		return candidates.get(random.nextInt(candidates.size()));
	}

}
