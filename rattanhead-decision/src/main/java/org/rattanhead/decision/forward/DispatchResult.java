package org.rattanhead.decision.forward;

/**
 * The result of placing a request.
 */
enum DispatchResult {

	/** The request was sent, or its memory is being reserved. */
	PLACED(""),

	/** The request waits for free instances. */
	HELD(""),

	/** No instance accepts the request. */
	NO_INSTANCE("No instance of the service accepts new work."),

	/** The daemon stops before the answer would be complete. */
	SHUTTING_DOWN("The daemon shuts down before the answer would be complete."),

	/** All instances together cannot read the prompt before the deadline. */
	TOO_LONG("The available instances cannot read the prompt before the deadline.");

	private final String refusal;

	DispatchResult(String refusal) {
		this.refusal = refusal;
	}

	boolean refused() {
		return !this.refusal.isEmpty();
	}

	/**
	 * Returns the problem detail for the caller.
	 * @return the detail, empty if the request is not refused
	 */
	String refusal() {
		return this.refusal;
	}

}
