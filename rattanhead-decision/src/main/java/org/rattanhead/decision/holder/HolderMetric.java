package org.rattanhead.decision.holder;

/**
 * The events that the lease holder counts, each with one label.
 */
public enum HolderMetric {

	/** Work was sent to an upstream; the label is the upstream. */
	DISPATCHED,

	/** Work was refused; the label is the problem kind. */
	REFUSED,

	/**
	 * A signal for an attempt that is not running was dropped, such as one that arrived
	 * late; the label is the upstream.
	 */
	DROPPED_SIGNAL,

	/**
	 * An upstream did not report its load and is treated as cold; the label is the
	 * upstream.
	 */
	COLD_START

}
