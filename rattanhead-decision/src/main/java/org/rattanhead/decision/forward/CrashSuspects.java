package org.rattanhead.decision.forward;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.rattanhead.core.forward.CrashReport;

/**
 * Counts, across all daemons, how often a request made instances fail, so that a request
 * that crashes engines is blocked.
 */
final class CrashSuspects {

	/**
	 * The failures after which a request is blocked; the rules of the platform count from
	 * the third.
	 */
	private static final int MAX_BREAKS = 3;

	/** How long a failure counts; well above the time in which callers retry. */
	private static final long MEMORY_NANOS = 60_000_000_000L;

	/** Bounds the size of the heartbeat datagram. */
	private static final int MAX_REPORTS = 16;

	private final Map<Long, Integer> own = new HashMap<>();

	private final Map<Long, Long> lastNanos = new HashMap<>();

	private final Map<String, List<CrashReport>> peers = new HashMap<>();

	void broke(long fingerprint, long nowNanos) {
		forget(nowNanos);
		this.own.merge(fingerprint, 1, Integer::sum);
		this.lastNanos.put(fingerprint, nowNanos);
	}

	void succeeded(long fingerprint) {
		this.own.remove(fingerprint);
		this.lastNanos.remove(fingerprint);
	}

	void heard(String host, List<CrashReport> reports) {
		this.peers.put(host, reports);
	}

	void silent(String host) {
		this.peers.remove(host);
	}

	boolean blocked(long fingerprint) {
		int count = this.own.getOrDefault(fingerprint, 0);
		for (List<CrashReport> reports : this.peers.values()) {
			for (CrashReport report : reports) {
				count += (report.fingerprint() == fingerprint) ? report.count() : 0;
			}
		}
		return count >= MAX_BREAKS;
	}

	List<CrashReport> reports(long nowNanos) {
		forget(nowNanos);
		List<CrashReport> reports = new ArrayList<>();
		this.own.entrySet()
			.stream()
			.sorted((left, right) -> Integer.compare(right.getValue(), left.getValue()))
			.limit(MAX_REPORTS)
			.forEach((entry) -> reports.add(new CrashReport(entry.getKey(), entry.getValue())));
		return reports;
	}

	private void forget(long nowNanos) {
		this.lastNanos.values().removeIf((last) -> last < nowNanos - MEMORY_NANOS);
		this.own.keySet().retainAll(this.lastNanos.keySet());
	}

}
