package org.rattanhead.decision.edge;

import org.rattanhead.core.problem.Problem;
import org.rattanhead.core.problem.ProblemKind;
import org.rattanhead.core.request.Work;

/**
 * The problems of requests that cannot be placed.
 */
final class PlacementProblems {

	private static final long RETRY_AFTER_MILLIS = 1_000;

	private PlacementProblems() {
	}

	static Problem noUpstream(Work work) {
		return Problem.notRun(ProblemKind.NO_UPSTREAM,
				"No upstream of '" + work.target().name() + "' accepts new work now.", RETRY_AFTER_MILLIS);
	}

}
