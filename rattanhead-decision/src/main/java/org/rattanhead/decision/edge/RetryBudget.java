package org.rattanhead.decision.edge;

/**
 * Limits retries to a share of the requests, so that retries do not amplify an overload.
 * Owned by one duty.
 */
final class RetryBudget {

	private static final double TOKENS_PER_REQUEST = 0.2;

	private static final double MAX_TOKENS = 100;

	private double tokens = MAX_TOKENS / 2;

	void onRequest() {
		this.tokens = Math.min(MAX_TOKENS, this.tokens + TOKENS_PER_REQUEST);
	}

	boolean tryAcquire() {
		if (this.tokens < 1) {
			return false;
		}
		this.tokens -= 1;
		return true;
	}

}
