package org.rattanhead.decision.forward;

import org.rattanhead.core.problem.ProblemKind;

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

	/** No instance and no daemon that reaches one can be called. */
	OUT_OF_REACH("This daemon has lost its links to the instances; connect to another one."),

	/** The daemon stops before the answer would be complete. */
	SHUTTING_DOWN("The daemon shuts down before the answer would be complete."),

	/** All instances together cannot read the prompt before the deadline. */
	TOO_LONG("The available instances cannot read the prompt before the deadline."),

	/** The work placed on all instances leaves no time for the request. */
	NO_TIME("No instance is expected to complete the request before the deadline.", ProblemKind.OVERLOADED),

	/** The instances take no more requests a second. */
	LIMITS_REACHED("All instances have reached their limits of requests a second.", ProblemKind.OVERLOADED),

	/** All servers would reject the request. */
	QUEUES_FULL("The queues of all instances are full.", ProblemKind.OVERLOADED);

	private final String refusal;

	private final ProblemKind kind;

	DispatchResult(String refusal) {
		this(refusal, ProblemKind.NO_UPSTREAM);
	}

	DispatchResult(String refusal, ProblemKind kind) {
		this.refusal = refusal;
		this.kind = kind;
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

	/**
	 * Returns the kind of the problem for the caller.
	 * @return the kind if the request is refused
	 */
	ProblemKind kind() {
		return this.kind;
	}

}
