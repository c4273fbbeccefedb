package org.rattanhead.decision.forward;

/**
 * What became of the attempt to place a request.
 */
enum DispatchResult {

	/** It was sent, or memory is being reserved for it. */
	PLACED,

	/** It waits until instances are free enough. */
	HELD,

	/** No instance can take it. */
	NO_INSTANCE

}
