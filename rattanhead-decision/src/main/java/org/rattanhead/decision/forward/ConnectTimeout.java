package org.rattanhead.decision.forward;

/**
 * The connect timeout of a call. It ends before the deadline and before each response
 * timeout, so that a request that was never sent is not taken for one that may have run.
 */
final class ConnectTimeout {

	/** The round trip between hosts takes milliseconds. */
	private static final long MAX_MILLIS = 300;

	/** Requests fail 30 ms before their deadline; the outcome takes a tick to arrive. */
	private static final long MARGIN_MILLIS = 60;

	private ConnectTimeout() {
	}

	/**
	 * Returns the timeout.
	 * @param remainingMillis the time left until the deadline, in milliseconds
	 * @return the timeout in milliseconds
	 */
	static long millis(long remainingMillis) {
		return Math.max(1, Math.min(MAX_MILLIS, remainingMillis - MARGIN_MILLIS));
	}

}
