package org.rattanhead.upstream.internal;

import org.rattanhead.client.CallFailure;
import org.rattanhead.core.catalogue.UpstreamEntry;
import org.rattanhead.core.problem.Problem;
import org.rattanhead.core.problem.ProblemKind;
import org.rattanhead.core.request.Work;

/**
 * Maps failed calls to problems. Only a call that was never sent is reported as not run.
 */
final class CallProblems {

	private static final long RETRY_AFTER_MILLIS = 1_000;

	private CallProblems() {
	}

	static Problem of(UpstreamEntry upstream, Work work, CallFailure failure, String detail) {
		String text = "Upstream '" + upstream.name() + "': " + detail + ".";
		return switch (failure) {
			case NOT_SENT -> Problem.notRun(ProblemKind.NO_UPSTREAM, text, RETRY_AFTER_MILLIS);
			case TIMED_OUT -> Problem.unknown(ProblemKind.DEADLINE_EXCEEDED, text);
			case BROKEN, ABORTED ->
				Problem.unknown(work.repeatable() ? ProblemKind.UPSTREAM_FAILED : ProblemKind.OUTCOME_UNKNOWN, text);
		};
	}

}
