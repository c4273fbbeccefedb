package org.rattanhead.core.forward;

/**
 * How an attempt broke.
 */
public enum AttemptFault {

	/** Nothing was sent. */
	NOT_SENT,

	/** The connection broke, or its bytes are no answer. */
	BROKEN,

	/** Nothing came for too long. */
	TIMED_OUT

}
