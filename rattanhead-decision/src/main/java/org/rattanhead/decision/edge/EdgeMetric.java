package org.rattanhead.decision.edge;

/**
 * The events that the entry daemon counts, each with one label.
 */
public enum EdgeMetric {

	/** A request was admitted; the label is the workspace. */
	ADMITTED,

	/** A request was refused before admission; the label is the problem kind. */
	REFUSED,

	/** An answer was completed; the label is the workspace. */
	ANSWERED,

	/** A kept answer was sent again; the label is the workspace. */
	REPEATED,

	/**
	 * An admitted request failed; the label is the problem kind, or caller-gone if the
	 * caller of a repeatable request disconnected.
	 */
	FAILED,

	/** An attempt was retried; the label is the problem kind of the failed attempt. */
	RETRIED,

	/**
	 * A signal or verdict that matches no current attempt or claim order was dropped; the
	 * label is its type.
	 */
	DROPPED_SIGNAL

}
