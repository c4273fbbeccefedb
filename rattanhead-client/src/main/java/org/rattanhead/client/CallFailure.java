package org.rattanhead.client;

/**
 * How a call failed.
 */
public enum CallFailure {

	/** No connection; the other side has received nothing. */
	NOT_SENT,

	/** The connection broke after the request, or part of it, was sent. */
	BROKEN,

	/** The timeout passed after the request, or part of it, was sent. */
	TIMED_OUT,

	/** The caller aborted it. */
	ABORTED

}
