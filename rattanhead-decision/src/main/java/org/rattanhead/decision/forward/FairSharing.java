package org.rattanhead.decision.forward;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.rattanhead.core.forward.EngineModel;
import org.rattanhead.decision.fairness.WorkspaceShares;
import org.rattanhead.decision.rank.HeldOrder;

/**
 * Determines which requests yield because their workspace uses more than its share of a
 * service with several ranks.
 */
final class FairSharing {

	private final ForwardState state;

	FairSharing(ForwardState state) {
		this.state = state;
	}

	/**
	 * Returns whether a request yields: the service is short of capacity for it, and its
	 * workspace uses more than its share.
	 * @param forwarding the request
	 * @param plan where it is sent
	 * @return true if it yields
	 */
	boolean yields(Forwarding forwarding, PlacementPlan plan) {
		return forwarding.rank().active() && scarce(forwarding, plan)
				&& shares(forwarding).exceeds(forwarding.policy().workspaceHash());
	}

	private static boolean scarce(Forwarding forwarding, PlacementPlan plan) {
		// The predicted time alone is no test, since a request that is not deferred
		// passes the deferred ones that wait there.
		int slots = forwarding.service().engine().map(EngineModel::slots).orElse(Integer.MAX_VALUE);
		return plan.primary().streams() >= slots || plan.firstTokenMillis() > forwarding.route().targetLatencyMillis();
	}

	/**
	 * Orders held requests to services with several ranks.
	 * @param held the requests
	 * @return the requests in the order in which they are sent
	 */
	List<Forwarding> order(List<Forwarding> held) {
		Map<String, WorkspaceShares> shares = new HashMap<>();
		Map<Forwarding, HeldOrder> orders = new HashMap<>();
		for (Forwarding forwarding : held) {
			boolean yielding = shares.computeIfAbsent(forwarding.service().name(), (service) -> shares(forwarding))
				.exceeds(forwarding.policy().workspaceHash());
			orders.put(forwarding, forwarding.heldOrder(yielding));
		}
		List<Forwarding> ordered = new ArrayList<>(held);
		ordered.sort(Comparator.comparing(orders::get));
		return ordered;
	}

	private WorkspaceShares shares(Forwarding forwarding) {
		WorkspaceShares shares = new WorkspaceShares();
		this.state.fleet()
			.all()
			.stream()
			.filter((load) -> load.instance().service().equals(forwarding.service().name()))
			.forEach((load) -> load.countStreams(shares));
		return shares;
	}

}
