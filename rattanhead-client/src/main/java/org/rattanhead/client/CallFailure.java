package org.rattanhead.client;

/**
 * How a call failed.
 */
public enum CallFailure {

	/** No connection was established; the server has received nothing. */
	NOT_SENT,

	/** The connection broke after the request, or part of it, was sent. */
	BROKEN,

	/** The timeout passed after the request, or part of it, was sent. */
	TIMED_OUT,

	/** The call was aborted with {@link OngoingCall#abort}. */
	ABORTED

}
