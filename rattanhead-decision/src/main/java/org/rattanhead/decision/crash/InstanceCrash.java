package org.rattanhead.decision.crash;

import org.rattanhead.core.Millis;

/**
 * The crash of an instance, as seen from its broken connections.
 *
 * @param instance identifies the incarnation of the instance
 * @param atNanos when it was seen, on the monotonic clock
 */
record InstanceCrash(long instance, long atNanos) {

	/** How far apart daemons may see one crash; restarts take longer. */
	private static final long MAX_SKEW_NANOS = Millis.toNanos(1_000);

	boolean sameAs(InstanceCrash other) {
		return this.instance == other.instance && Math.abs(this.atNanos - other.atNanos) < MAX_SKEW_NANOS;
	}

}
