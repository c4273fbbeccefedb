package org.rattanhead.decision.holder;

/**
 * What the lease holder counts.
 */
public enum HolderMetric {

	/** Work was sent to an upstream; the label is the upstream. */
	DISPATCHED,

	/** Work was refused; the label is the problem. */
	REFUSED,

	/** A late or crossed signal of an upstream was dropped; the label is the upstream. */
	DROPPED_SIGNAL,

	/** An upstream was found in cold start or disrupted; the label is the upstream. */
	COLD_START

}
