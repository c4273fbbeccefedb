package org.rattanhead.decision.rank;

/**
 * Determines the urgency with which an engine admits a request.
 */
@FunctionalInterface
public interface UrgencyRule {

	/** The urgency that engines admit last. */
	int LAST = 9;

	/** The rule for services whose requests all have the same rank. */
	UrgencyRule UNRANKED = UnrankedUrgency::urgency;

	/**
	 * Determines the urgency of a request.
	 * @param request the request
	 * @return the urgency, from 0 (first) to {@link #LAST}
	 */
	int urgency(EngineRequest request);

	/**
	 * Returns the rule that applies to a service.
	 * @param rank the rank of the request in its service
	 * @return the rule
	 */
	static UrgencyRule of(RequestRank rank) {
		return rank.active() ? RankedUrgency::urgency : UNRANKED;
	}

}
