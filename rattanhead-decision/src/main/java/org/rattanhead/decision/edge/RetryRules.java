package org.rattanhead.decision.edge;

import org.rattanhead.core.problem.Execution;
import org.rattanhead.core.problem.Problem;
import org.rattanhead.core.problem.ProblemKind;

/**
 * Decides whether a failed attempt is retried, and which problem the caller receives if
 * not. Owned by one duty.
 */
final class RetryRules {

	private static final int MAX_ATTEMPTS = 4;

	private final RetryBudget budget = new RetryBudget();

	void onRequest() {
		this.budget.onRequest();
	}

	boolean mayRetry(PendingRequest request, Problem problem, long nowNanos) {
		boolean notRun = problem.execution() == Execution.NOT_RUN;
		return !request.answerStarted() && request.work().attempt().number() < MAX_ATTEMPTS
				&& nowNanos < request.work().deadlineNanos() && (notRun || request.work().repeatable());
	}

	boolean acquireRetry(Problem problem) {
		return problem.execution() == Execution.NOT_RUN || this.budget.tryAcquire();
	}

	static Problem finalProblem(PendingRequest request, Problem problem) {
		if (request.work().repeatable() || problem.execution() == Execution.NOT_RUN) {
			return problem;
		}
		return Problem.unknown(ProblemKind.OUTCOME_UNKNOWN, problem.detail());
	}

}
