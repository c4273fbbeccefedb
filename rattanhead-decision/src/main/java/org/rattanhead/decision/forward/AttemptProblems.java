package org.rattanhead.decision.forward;

import java.util.OptionalLong;

import org.rattanhead.core.problem.Problem;
import org.rattanhead.core.problem.ProblemKind;

/**
 * The problems with which a request ends that no instance answered.
 */
final class AttemptProblems {

	/** Announced if the refusal has nothing to do with capacity. */
	private static final long RETRY_AFTER_MILLIS = 300;

	private AttemptProblems() {
	}

	/**
	 * Returns the problem of a request that an instance may have run.
	 * @param forwarding the request
	 * @param detail what happened
	 * @return the problem
	 */
	static Problem ran(Forwarding forwarding, String detail) {
		return forwarding.route().repeatable()
				? Problem.failed(ProblemKind.UPSTREAM_FAILED, "The instance failed: " + detail)
				: Problem.unknown(ProblemKind.OUTCOME_UNKNOWN, "The instance may have run the request: " + detail);
	}

	/**
	 * Returns the problem of a request that is left at the end of a shutdown.
	 * @param forwarding the request
	 * @return the problem
	 */
	static Problem shutDown(Forwarding forwarding) {
		return (forwarding.runs() > 0) ? ran(forwarding, "the daemon shut down before its answer was complete.")
				: Problem.notRun(ProblemKind.SHUTTING_DOWN, "The daemon shut down before the request was sent.",
						RETRY_AFTER_MILLIS);
	}

	/**
	 * Returns the problem of a request for which a rule of this daemon failed.
	 * @param forwarding the request
	 * @return the problem
	 */
	static Problem ruleFailed(Forwarding forwarding) {
		return (forwarding.runs() > 0) ? ran(forwarding, "the daemon failed to handle its answer.") : ruleFailed();
	}

	/**
	 * Returns the problem of a request for which a rule of this daemon failed before it
	 * was sent.
	 * @return the problem
	 */
	static Problem ruleFailed() {
		return Problem.notRun(ProblemKind.NO_UPSTREAM, "The daemon failed to place the request.", RETRY_AFTER_MILLIS);
	}

	/**
	 * Returns the problem of a request that no instance has run.
	 * @param kind the kind of problem
	 * @param detail what happened
	 * @param retryAfterMillis when an instance is expected to accept the request, in
	 * milliseconds; empty if unknown
	 * @return the problem
	 */
	static Problem notRun(ProblemKind kind, String detail, OptionalLong retryAfterMillis) {
		return Problem.notRun(kind, detail, retryAfterMillis.orElse(RETRY_AFTER_MILLIS));
	}

	/**
	 * Returns the problem of a request for which there was no instance that ran it.
	 * @param detail what happened
	 * @param retryAfterMillis when an instance is expected to accept the request, in
	 * milliseconds; empty if unknown
	 * @return the problem
	 */
	static Problem notRun(String detail, OptionalLong retryAfterMillis) {
		return notRun(ProblemKind.NO_UPSTREAM, detail, retryAfterMillis);
	}

}
