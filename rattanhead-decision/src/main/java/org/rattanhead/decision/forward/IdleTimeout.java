package org.rattanhead.decision.forward;

import org.rattanhead.core.Millis;
import org.rattanhead.core.forward.Route;

/**
 * The time without progress after which an answer is taken for stalled.
 */
final class IdleTimeout {

	/** The shortest idle time after which a stream resumes on another instance. */
	private static final long MIN_IDLE_TIMEOUT_MILLIS = 1_000;

	private static final long IDLE_TIMEOUT_FACTOR = 4;

	private IdleTimeout() {
	}

	/**
	 * Returns when an answer that makes no progress from now on is stalled.
	 * @param route the route of the request
	 * @param nowNanos the time on the monotonic clock
	 * @return the time; never for a request that cannot be repeated
	 */
	static long deadlineNanos(Route route, long nowNanos) {
		if (!route.repeatable()) {
			return Long.MAX_VALUE;
		}
		return nowNanos
				+ Millis.toNanos(Math.max(MIN_IDLE_TIMEOUT_MILLIS, IDLE_TIMEOUT_FACTOR * route.targetGapMillis()));
	}

}
