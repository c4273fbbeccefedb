package org.rattanhead.decision.forward;

/**
 * What became of the attempt to place a request.
 */
enum DispatchResult {

	/** It was sent, or memory is being reserved for it. */
	PLACED(""),

	/** It waits until instances are free enough. */
	HELD(""),

	/** No instance can take it. */
	NO_INSTANCE("No instance of the service takes new work now."),

	/** All instances together could not read its prompt before the deadline. */
	TOO_LONG("The prompt cannot be read before the deadline by the instances there are.");

	private final String refusal;

	DispatchResult(String refusal) {
		this.refusal = refusal;
	}

	/**
	 * Tells whether the request is given up.
	 * @return true if it is
	 */
	boolean refused() {
		return !this.refusal.isEmpty();
	}

	/**
	 * Returns what the caller is told.
	 * @return a sentence, empty if the request is not given up
	 */
	String refusal() {
		return this.refusal;
	}

}
