package org.rattanhead.decision.rank;

/**
 * The urgency of requests to a service with several ranks: by rank, then length, then
 * whether the request is deferred. A request that yields comes one step later. A request
 * that has waited long counts as one of the next more urgent rank.
 */
final class RankedUrgency {

	/** Quick, quick but deferred, and long. */
	private static final int STEPS = 3;

	/**
	 * Share of the time to the deadline after which a request ages. Refused callers wait
	 * at most a third of the time that they have left, so a request that waited longer is
	 * worse off than a refused one.
	 */
	private static final double AGEING_SHARE = 1.0 / 3;

	private RankedUrgency() {
	}

	static int urgency(EngineRequest request) {
		RequestRank rank = request.rank();
		// With more ranks than fit, length and deferral are distinguished less finely.
		int steps = Math.max(1, Math.min(STEPS, (UrgencyRule.LAST + 1) / rank.ranks()));
		int step = Math.min(steps - 1, step(request));
		boolean aged = request.waitedShare() >= AGEING_SHARE;
		int urgency = steps * (aged ? rank.position() - 1 : rank.position()) + step + (request.yielding() ? 1 : 0);
		// Level 0 is kept for the prompts that other requests must not delay.
		boolean first = rank.position() == 0 && step == 0 && !request.yielding();
		return first ? 0 : Math.max(1, Math.min(UrgencyRule.LAST, urgency));
	}

	private static int step(EngineRequest request) {
		if (!request.quick()) {
			return STEPS - 1;
		}
		return request.deferred() ? 1 : 0;
	}

}
