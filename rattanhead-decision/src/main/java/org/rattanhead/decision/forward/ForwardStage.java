package org.rattanhead.decision.forward;

/**
 * How far the current attempt of a request is.
 */
enum ForwardStage {

	/** Memory is being reserved. */
	RESERVING,

	/** The request was sent; no answer has begun. */
	SENT,

	/** The answer has begun. */
	ANSWERING

}
