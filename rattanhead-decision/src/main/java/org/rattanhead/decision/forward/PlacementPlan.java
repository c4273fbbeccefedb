package org.rattanhead.decision.forward;

import java.util.List;

import org.rattanhead.core.request.AttemptId;

/**
 * The instances selected for a request, with predicted times and costs.
 *
 * @param primary the instance that answers
 * @param helpers the instances that read parts of the prompt
 * @param firstTokenMillis the predicted time to the first token, in milliseconds
 * @param partMillis the time to read one part, in milliseconds
 * @param primaryMemoryTokens the memory used on the primary instance, in tokens
 * @param interferenceCost the worth that other requests lose
 * @param viewAgeMillis the age of the view that it was selected on, in milliseconds
 * @param candidates the number of instances considered; 0 if load is not placed evenly
 * @param relayed whether the primary instance stands for another daemon
 */
record PlacementPlan(InstanceLoad primary, List<PlannedHelper> helpers, double firstTokenMillis, long partMillis,
		long primaryMemoryTokens, double interferenceCost, long viewAgeMillis, int candidates, boolean relayed) {

	PlacementPlan(InstanceLoad primary, List<PlannedHelper> helpers, double firstTokenMillis, long partMillis,
			long primaryMemoryTokens, double interferenceCost) {
		this(primary, helpers, firstTokenMillis, partMillis, primaryMemoryTokens, interferenceCost, 0, 0, false);
	}

	/**
	 * Creates the plan of a request that is passed on.
	 * @param daemon stands for the daemon that receives it
	 * @return the plan
	 */
	static PlacementPlan relay(InstanceLoad daemon) {
		return new PlacementPlan(daemon, List.of(), 0, 0, 0, 0, 0, 0, true);
	}

	PlacementPlan selectedFrom(long newViewAgeMillis, int newCandidates) {
		return new PlacementPlan(this.primary, this.helpers, this.firstTokenMillis, this.partMillis,
				this.primaryMemoryTokens, this.interferenceCost, newViewAgeMillis, newCandidates, this.relayed);
	}

	List<Ticket> tickets(AttemptId attempt) {
		return this.helpers.stream()
			.filter((helper) -> helper.reservedTokens() > 0)
			.map((helper) -> new Ticket(helper.ticketName(attempt), attempt, helper.load().instance().id(),
					helper.load().instance().address(), helper.reservedTokens()))
			.toList();
	}

	boolean reserves() {
		return this.helpers.stream().anyMatch((helper) -> helper.reservedTokens() > 0);
	}

}
