package org.rattanhead.core.forward;

/**
 * The transport fault that ended an attempt.
 */
public enum AttemptFault {

	/** No part of the request was sent. */
	NOT_SENT,

	/** The connection broke, or the response is malformed. */
	BROKEN,

	/** No data arrived within the time-out. */
	TIMED_OUT

}
