package org.rattanhead.decision.forward;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

import org.rattanhead.core.Millis;
import org.rattanhead.decision.rank.RequestRank;
import org.rattanhead.decision.rank.RetryShare;

/**
 * Limits the retries to a service to the share of this daemon in the budget of all
 * daemons.
 */
final class RetryBudget {

	/** Share of the budget in use; the rest covers daemons with an outdated view. */
	private static final double USED_SHARE = 0.9;

	/**
	 * The share for requests of little worth, so that they do not use up what a long
	 * prompt needs later.
	 */
	private static final double LOW_WORTH_SHARE = 0.7;

	/** The worth from which a request may use the whole share. */
	private static final double HIGH_WORTH = 5;

	private final ForwardLimits limits;

	private final Map<String, Deque<Long>> requestNanos = new HashMap<>();

	private final Map<String, Deque<Long>> retryNanos = new HashMap<>();

	private int daemons = 1;

	RetryBudget(ForwardLimits limits) {
		this.limits = limits;
	}

	void daemons(int newDaemons) {
		this.daemons = Math.max(1, newDaemons);
	}

	void request(String service, long nowNanos) {
		record(this.requestNanos, service, nowNanos);
	}

	/**
	 * Returns whether a request may be sent once more. In a service with several ranks,
	 * the rank decides instead of the worth.
	 * @param service the service
	 * @param worth the worth of the request
	 * @param rank the rank of the request
	 * @param nowNanos the time on the monotonic clock
	 * @return true if the budget allows it
	 */
	boolean allows(String service, double worth, RequestRank rank, long nowNanos) {
		return rank.active() ? allowsShare(service, RetryShare.of(rank, USED_SHARE), nowNanos)
				: allows(service, worth, nowNanos);
	}

	/**
	 * Returns whether a request may be sent once more.
	 * @param service the service
	 * @param worth the worth of the request
	 * @param nowNanos the time on the monotonic clock
	 * @return true if the budget allows it
	 */
	boolean allows(String service, double worth, long nowNanos) {
		return allowsShare(service, (worth < HIGH_WORTH) ? LOW_WORTH_SHARE : USED_SHARE, nowNanos);
	}

	private boolean allowsShare(String service, double share, long nowNanos) {
		double allowed = this.limits.retryRatio() * count(this.requestNanos, service, nowNanos)
				+ this.limits.retrySlack() / this.daemons;
		return count(this.retryNanos, service, nowNanos) + 1 <= allowed * share;
	}

	void retry(String service, long nowNanos) {
		record(this.retryNanos, service, nowNanos);
	}

	private void record(Map<String, Deque<Long>> times, String service, long nowNanos) {
		times.computeIfAbsent(service, (name) -> new ArrayDeque<>()).addLast(nowNanos);
		count(times, service, nowNanos);
	}

	private int count(Map<String, Deque<Long>> times, String service, long nowNanos) {
		Deque<Long> recent = times.get(service);
		if (recent == null) {
			return 0;
		}
		long windowNanos = Millis.toNanos(this.limits.retryWindowMillis());
		while (!recent.isEmpty() && recent.peekFirst() < nowNanos - windowNanos) {
			recent.pollFirst();
		}
		return recent.size();
	}

}
