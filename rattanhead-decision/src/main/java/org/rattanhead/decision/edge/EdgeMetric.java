package org.rattanhead.decision.edge;

/**
 * What the edge counts.
 */
public enum EdgeMetric {

	/** A request was admitted; the label is the workspace. */
	ADMITTED,

	/** A request was refused; the label is the problem. */
	REFUSED,

	/** An answer was whole; the label is the workspace. */
	ANSWERED,

	/** A kept answer was repeated; the label is the workspace. */
	REPEATED,

	/** An admitted request failed; the label is the problem. */
	FAILED,

	/** Another attempt was made; the label is the problem of the attempt before. */
	RETRIED,

	/**
	 * A signal of an attempt that is not current was dropped; the label is the type of
	 * the signal.
	 */
	DROPPED_SIGNAL

}
