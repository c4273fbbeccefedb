package org.rattanhead.core.problem;

/**
 * Carries a {@link Problem} as the failure of a {@code CompletableFuture}.
 */
public final class ProblemException extends RuntimeException {

	private static final long serialVersionUID = 1L;

	private final transient Problem problem;

	/**
	 * Wraps a problem.
	 * @param problem the problem
	 */
	public ProblemException(Problem problem) {
		this(problem, null);
	}

	/**
	 * Wraps a problem and its cause.
	 * @param problem the problem
	 * @param cause the cause, null if there is none
	 */
	public ProblemException(Problem problem, Throwable cause) {
		super(problem.kind().slug() + ": " + problem.detail() + " " + problem.kind().remedy(), cause);
		this.problem = problem;
	}

	/**
	 * Returns the problem.
	 * @return the problem
	 */
	public Problem problem() {
		return this.problem;
	}

}
