package org.rattanhead.core.problem;

/**
 * A failure as reported to a caller.
 *
 * @param kind the kind of failure
 * @param execution whether an upstream ran the request
 * @param detail a description of the failure of this request
 * @param retryAfterMillis the delay after which a retry may succeed, in milliseconds; 0
 * if a retry does not help
 */
public record Problem(ProblemKind kind, Execution execution, String detail, long retryAfterMillis) {

	/**
	 * Describes a request that was not run.
	 * @param kind the kind of failure
	 * @param detail a description of the failure
	 * @return the problem
	 */
	public static Problem notRun(ProblemKind kind, String detail) {
		return new Problem(kind, Execution.NOT_RUN, detail, 0);
	}

	/**
	 * Describes a request that was not run and may succeed later.
	 * @param kind the kind of failure
	 * @param detail a description of the failure
	 * @param retryAfterMillis the delay before a retry, in milliseconds
	 * @return the problem
	 */
	public static Problem notRun(ProblemKind kind, String detail, long retryAfterMillis) {
		return new Problem(kind, Execution.NOT_RUN, detail, retryAfterMillis);
	}

	/**
	 * Describes a request that was run and failed.
	 * @param kind the kind of failure
	 * @param detail a description of the failure
	 * @return the problem
	 */
	public static Problem failed(ProblemKind kind, String detail) {
		return new Problem(kind, Execution.FAILED, detail, 0);
	}

	/**
	 * Describes a request of which it is unknown whether it was run.
	 * @param kind the kind of failure
	 * @param detail a description of the failure
	 * @return the problem
	 */
	public static Problem unknown(ProblemKind kind, String detail) {
		return new Problem(kind, Execution.UNKNOWN, detail, 0);
	}

	/**
	 * Returns a copy with another execution state.
	 * @param newExecution the state
	 * @return the copy
	 */
	public Problem withExecution(Execution newExecution) {
		return new Problem(this.kind, newExecution, this.detail, this.retryAfterMillis);
	}

}
