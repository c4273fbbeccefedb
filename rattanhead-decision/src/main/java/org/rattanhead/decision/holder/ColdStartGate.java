package org.rattanhead.decision.holder;

import org.rattanhead.core.upstream.UpstreamLoad;

/**
 * Decides whether an upstream may be treated as warm. Load reports lag behind the state
 * of the upstream, so after a disruption every report that may describe the time before
 * it is ignored. Owned by one duty.
 */
final class ColdStartGate {

	private static final long REPORT_LAG_NANOS = 2_000_000_000L;

	private boolean warm;

	private String bootId = "";

	private long ignoreReportsUntilNanos = Long.MIN_VALUE;

	boolean warm() {
		return this.warm;
	}

	void onDisruption(long nowNanos) {
		this.warm = false;
		this.ignoreReportsUntilNanos = nowNanos + REPORT_LAG_NANOS;
	}

	void onLoadReport(UpstreamLoad load, long nowNanos) {
		boolean restarted = !this.bootId.isEmpty() && !this.bootId.equals(load.bootId());
		this.bootId = load.bootId();
		boolean current = restarted || nowNanos >= this.ignoreReportsUntilNanos;
		this.warm = current && !load.cold();
	}

}
