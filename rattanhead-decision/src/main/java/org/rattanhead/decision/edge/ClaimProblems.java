package org.rattanhead.decision.edge;

import org.rattanhead.core.claim.ClaimOutcome;
import org.rattanhead.core.problem.Execution;
import org.rattanhead.core.problem.Problem;
import org.rattanhead.core.problem.ProblemKind;

/**
 * The problems sent to callers whose claim was not granted.
 */
final class ClaimProblems {

	private static final long RETRY_AFTER_MILLIS = 1_000;

	private ClaimProblems() {
	}

	static Problem of(ClaimOutcome outcome) {
		return switch (outcome) {
			case HELD -> new Problem(ProblemKind.DUPLICATE_REQUEST, Execution.UNKNOWN,
					"Another request with this idempotency key is running, or ended without a known outcome.",
					RETRY_AFTER_MILLIS);
			case KEY_REUSED -> Problem.notRun(ProblemKind.KEY_REUSED,
					"This idempotency key was already used for a request with different content.");
			default -> Problem.notRun(ProblemKind.CLAIMS_UNAVAILABLE,
					"The claim of this request could not be recorded in time.", RETRY_AFTER_MILLIS);
		};
	}

}
