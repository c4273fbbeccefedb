package org.rattanhead.decision.forward;

/**
 * Decides whether a long prompt waits in the daemon for free engines, so that it does not
 * delay running streams while its target latency can still be met. A prompt that the
 * currently free engines cannot read before the deadline also waits, since it would block
 * them without a result.
 */
final class HoldRule {

	/**
	 * Highest cost to running streams for a prompt that can still be on time, as a share
	 * of its worth.
	 */
	private static final double MAX_COST_SHARE = 0.3;

	/** The same limit when the slack is shorter than the time to the first token. */
	private static final double LAST_CHANCE_MAX_COST_SHARE = 0.7;

	/** Share of the target latency within which the first token is planned. */
	private static final double TARGET_SHARE = 0.9;

	/** The same limit for a prompt that already misses its target latency. */
	private static final double LATE_MAX_COST_SHARE = 0.1;

	/** Duration of a response after its first token. */
	static final long ANSWER_MILLIS = 2_500;

	/**
	 * The prompt is sent regardless of the cost once its first token takes this share of
	 * the remaining time.
	 */
	private static final double MAX_READ_SHARE = 0.6;

	private HoldRule() {
	}

	/**
	 * Decides whether a request waits.
	 * @param forwarding the request
	 * @param plan where it would be sent now
	 * @param remainingMillis the time left for its answer
	 * @param nowNanos the time on the monotonic clock
	 * @return true if it waits
	 */
	static boolean holds(Forwarding forwarding, PlacementPlan plan, long remainingMillis, long nowNanos) {
		if (plan.partMillis() == 0 || forwarding.service().engine().isEmpty()) {
			return false;
		}
		long promptTokens = forwarding.request().tokens().orElseThrow().promptTokens();
		if (EnginePlacement.isSingleRead(forwarding.service().engine().get(), promptTokens)) {
			return false;
		}
		if (plan.firstTokenMillis() >= remainingMillis) {
			return true;
		}
		double readableMillis = remainingMillis - ANSWER_MILLIS;
		if (plan.firstTokenMillis() >= MAX_READ_SHARE * readableMillis) {
			return false;
		}
		double targetMillis = TARGET_SHARE * forwarding.route().targetLatencyMillis();
		double slackMillis = targetMillis - forwarding.elapsedMillis(nowNanos) - plan.firstTokenMillis();
		double worth = forwarding.worth();
		if (slackMillis < 0) {
			return plan.interferenceCost() > LATE_MAX_COST_SHARE * worth;
		}
		boolean lastChance = slackMillis < plan.firstTokenMillis();
		return plan.interferenceCost() > (lastChance ? LAST_CHANCE_MAX_COST_SHARE : MAX_COST_SHARE) * worth;
	}

}
