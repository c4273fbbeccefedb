package org.rattanhead.decision.forward;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.rattanhead.core.forward.CrashReport;

/**
 * Counts, across all daemons, how often a request made instances fail, so that a request
 * that crashes engines is blocked. A success of the request resets the count of this
 * daemon.
 */
final class CrashSuspects {

	/**
	 * The number of failures at which a request is blocked; the platform requires
	 * blocking from the third failure on.
	 */
	private static final int BLOCKING_FAILURES = 3;

	/**
	 * How long the failures of a request are kept after the last one; longer than callers
	 * retry.
	 */
	private static final long RETENTION_NANOS = 60_000_000_000L;

	/** Bounds the size of the heartbeat datagram. */
	private static final int MAX_REPORTS = 16;

	private final Map<Long, Integer> ownCounts = new HashMap<>();

	private final Map<Long, Long> lastFailureNanos = new HashMap<>();

	private final Map<String, List<CrashReport>> reportsByPeer = new HashMap<>();

	void recordFailure(long fingerprint, long nowNanos) {
		expire(nowNanos);
		this.ownCounts.merge(fingerprint, 1, Integer::sum);
		this.lastFailureNanos.put(fingerprint, nowNanos);
	}

	/**
	 * Resets the count of this daemon.
	 * @param fingerprint the fingerprint of a request that succeeded
	 * @return whether this daemon had counted failures
	 */
	boolean recordSuccess(long fingerprint) {
		this.lastFailureNanos.remove(fingerprint);
		return this.ownCounts.remove(fingerprint) != null;
	}

	void updatePeer(String host, List<CrashReport> reports) {
		this.reportsByPeer.put(host, reports);
	}

	void removePeer(String host) {
		this.reportsByPeer.remove(host);
	}

	boolean isBlocked(long fingerprint) {
		return count(fingerprint) >= BLOCKING_FAILURES;
	}

	/**
	 * Returns the crashes attributed to a request.
	 * @param fingerprint the fingerprint of the request
	 * @return the crashes that all daemons reported
	 */
	int count(long fingerprint) {
		int count = this.ownCounts.getOrDefault(fingerprint, 0);
		for (List<CrashReport> reports : this.reportsByPeer.values()) {
			for (CrashReport report : reports) {
				count += (report.fingerprint() == fingerprint) ? report.count() : 0;
			}
		}
		return count;
	}

	List<CrashReport> reports(long nowNanos) {
		expire(nowNanos);
		List<CrashReport> reports = new ArrayList<>();
		this.ownCounts.entrySet()
			.stream()
			.sorted((left, right) -> Integer.compare(right.getValue(), left.getValue()))
			.limit(MAX_REPORTS)
			.forEach((entry) -> reports.add(new CrashReport(entry.getKey(), entry.getValue())));
		return reports;
	}

	private void expire(long nowNanos) {
		this.lastFailureNanos.values().removeIf((last) -> last < nowNanos - RETENTION_NANOS);
		this.ownCounts.keySet().retainAll(this.lastFailureNanos.keySet());
	}

}
