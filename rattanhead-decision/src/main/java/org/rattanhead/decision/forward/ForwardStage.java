package org.rattanhead.decision.forward;

/**
 * How far the current attempt of a request is.
 */
enum ForwardStage {

	/** No instance is free enough; the request waits in this daemon. */
	HELD,

	/** Memory is being reserved. */
	RESERVING,

	/** The request was sent; no answer has begun. */
	SENT,

	/** The answer has begun. */
	ANSWERING

}
