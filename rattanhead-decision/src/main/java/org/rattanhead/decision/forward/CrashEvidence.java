package org.rattanhead.decision.forward;

import java.util.List;

import org.rattanhead.core.forward.ForwardRequest;

/**
 * Records with which requests instances crash, and which ones they answer. What happens
 * to a request that was passed on is recorded by the daemon that received it.
 */
final class CrashEvidence {

	private static final int FIRST_ERROR_STATUS = 400;

	private final ForwardState state;

	CrashEvidence(ForwardState state) {
		this.state = state;
	}

	/**
	 * Records that the connection of the current attempt broke. The parts of its prompt
	 * are no suspects if the answer went on, since instances crash when they begin it.
	 * @param forwarding the request
	 * @param nowNanos the time on the monotonic clock
	 */
	void attemptBroke(Forwarding forwarding, long nowNanos) {
		if (forwarding.plan().relayed()) {
			return;
		}
		ForwardRequest request = forwarding.request();
		List<Long> keys = forwarding.answerGoesOn() ? List.of(request.fingerprint()) : request.crashKeys();
		this.state.suspects().crashed(keys, forwarding.plan().primary().incarnationKey(), nowNanos);
	}

	/**
	 * Records that the instance goes on with the answer of the current attempt, if it
	 * does.
	 * @param forwarding the request
	 * @param nowNanos the time on the monotonic clock
	 */
	void answerContinued(Forwarding forwarding, long nowNanos) {
		if (!forwarding.plan().relayed() && forwarding.findAnswerGoingOn(nowNanos)) {
			this.state.suspects()
				.answered(forwarding.request().sharedParts(), forwarding.answerBeganNanos().orElse(nowNanos), nowNanos);
		}
	}

	/**
	 * Records that the answer of the current attempt is complete. A short stream that
	 * ends with its connection says nothing: it may have ended by a crash.
	 * @param forwarding the request
	 * @param nowNanos the time on the monotonic clock
	 */
	void answerFinished(Forwarding forwarding, long nowNanos) {
		boolean certain = !forwarding.plan().relayed() && (!forwarding.answerHead().streamed()
				|| forwarding.answerHead().delimited() || forwarding.answerGoesOn());
		if (forwarding.answerHead().status() < FIRST_ERROR_STATUS && certain) {
			this.state.suspects()
				.answered(forwarding.request().crashKeys(), forwarding.answerBeganNanos().orElse(nowNanos), nowNanos);
		}
	}

}
