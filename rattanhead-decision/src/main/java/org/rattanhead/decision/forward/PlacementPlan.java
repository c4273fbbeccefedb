package org.rattanhead.decision.forward;

import java.util.List;

/**
 * Where a request goes.
 *
 * @param first the instance that answers
 * @param helpers the instances that read parts of the prompt
 * @param firstTokenMillis the predicted time to the first byte, in milliseconds
 * @param partMillis the time that each instance reads, in milliseconds
 * @param firstTokens the memory on the first instance, in tokens
 * @param harm the worth that other requests lose by it
 */
record PlacementPlan(InstanceLoad first, List<PlannedHelper> helpers, double firstTokenMillis, long partMillis,
		long firstTokens, double harm) {

	boolean reserves() {
		return this.helpers.stream().anyMatch((helper) -> helper.ticketTokens() > 0);
	}

}
