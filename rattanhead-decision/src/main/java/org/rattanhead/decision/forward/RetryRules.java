package org.rattanhead.decision.forward;

/**
 * Decides whether a request may be sent once more after a failed attempt.
 */
final class RetryRules {

	/** The attempts of one request, including those that did not run. */
	private static final int MAX_ATTEMPTS = 5;

	/** The remaining time below which another attempt is not worth starting. */
	private static final long MIN_RETRY_MILLIS = 60;

	private final ForwardState state;

	RetryRules(ForwardState state) {
		this.state = state;
	}

	/**
	 * Returns whether a request may be sent once more.
	 * @param forwarding the request
	 * @param wasSent whether the last attempt may have reached an instance
	 * @param nowNanos the time on the monotonic clock
	 * @return true if it may
	 */
	boolean allowed(Forwarding forwarding, boolean wasSent, long nowNanos) {
		boolean safe = forwarding.runs() == 0 || forwarding.route().repeatable();
		ReplyRelay relay = forwarding.relay();
		boolean continuable = !relay.started() || (relay.streamed() && forwarding.route().resumable());
		return safe && continuable && forwarding.runs() < Math.max(1, forwarding.route().maxAttempts())
				&& forwarding.attempts() < MAX_ATTEMPTS && forwarding.remainingMillis(nowNanos) > MIN_RETRY_MILLIS
				&& (!wasSent || this.state.budget()
					.allows(forwarding.service().name(), forwarding.worth(), forwarding.rank(), nowNanos))
				&& this.state.suspects().findBlocked(forwarding.request().crashKeys(), nowNanos).isEmpty();
	}

}
