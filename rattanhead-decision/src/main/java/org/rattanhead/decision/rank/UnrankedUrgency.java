package org.rattanhead.decision.rank;

/**
 * The urgency of requests to a service whose requests all have the same rank.
 */
final class UnrankedUrgency {

	private static final int QUICK = 2;

	private static final int LONG = 6;

	/**
	 * For prompts whose target latency is missed anyway, so that they delay no others.
	 */
	private static final int DEFERRED = 8;

	private UnrankedUrgency() {
	}

	static int urgency(EngineRequest request) {
		if (request.deferred()) {
			return DEFERRED;
		}
		return request.quick() ? QUICK : LONG;
	}

}
