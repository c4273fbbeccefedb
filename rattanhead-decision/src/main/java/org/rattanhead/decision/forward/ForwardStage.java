package org.rattanhead.decision.forward;

/**
 * The stage of a request in progress.
 */
enum ForwardStage {

	/** The request waits in this daemon for free instances. */
	HELD,

	/** Memory is being reserved. */
	RESERVING,

	/** The request was sent; no response has started. */
	SENT,

	/** The response has started. */
	ANSWERING

}
