package org.rattanhead.decision.forward;

/**
 * Decides whether a long prompt waits in the daemon until engines are free, so that it
 * does not harm running streams while it still has time. A prompt that could not be read
 * in time on the engines that are free now waits as well: it would block them for
 * nothing.
 */
final class HoldRule {

	/**
	 * The harm up to which a prompt that can be on time goes at once, as a part of its
	 * worth.
	 */
	private static final double HARM_SHARE = 0.3;

	/** The harm up to which a prompt takes its last chance to be on time. */
	private static final double LAST_CHANCE_SHARE = 0.7;

	/** The part of the target by which the first token is to be planned. */
	private static final double TARGET_SHARE = 0.9;

	/** The harm up to which a prompt that is late anyway goes, as a part of its worth. */
	private static final double LATE_SHARE = 0.1;

	/** The time that an answer takes after its first token, in milliseconds. */
	private static final long ANSWER_MILLIS = 2_500;

	/** The part of the time left that reading may take before the prompt must go. */
	private static final double READ_SHARE = 0.6;

	private HoldRule() {
	}

	static boolean holds(Forwarding forwarding, PlacementPlan plan, long nowNanos) {
		if (plan.partMillis() == 0 || forwarding.service().engine().isEmpty()) {
			return false;
		}
		long promptTokens = forwarding.request().tokens().orElseThrow().promptTokens();
		if (EnginePlacement.readWhole(forwarding.service().engine().get(), promptTokens)) {
			return false;
		}
		if (plan.firstTokenMillis() >= forwarding.remainingMillis(nowNanos)) {
			return true;
		}
		double leftMillis = forwarding.remainingMillis(nowNanos) - ANSWER_MILLIS;
		if (plan.firstTokenMillis() >= READ_SHARE * leftMillis) {
			return false;
		}
		double targetMillis = TARGET_SHARE * forwarding.route().targetLatencyMillis();
		double slackMillis = targetMillis - forwarding.elapsedMillis(nowNanos) - plan.firstTokenMillis();
		double worth = PlacementQuery.worth(promptTokens);
		if (slackMillis < 0) {
			return plan.harm() > LATE_SHARE * worth;
		}
		boolean lastChance = slackMillis < plan.firstTokenMillis();
		return plan.harm() > (lastChance ? LAST_CHANCE_SHARE : HARM_SHARE) * worth;
	}

}
