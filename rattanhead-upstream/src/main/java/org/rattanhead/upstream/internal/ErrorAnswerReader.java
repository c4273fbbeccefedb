package org.rattanhead.upstream.internal;

import java.util.List;

import org.rattanhead.core.Payload;
import org.rattanhead.core.problem.Problem;
import org.rattanhead.core.request.AttemptId;
import org.rattanhead.core.work.WorkFailed;
import org.rattanhead.core.work.WorkSignal;

/**
 * Discards the body of an error answer and reports the failure at its end.
 */
final class ErrorAnswerReader implements AnswerReader {

	private final AttemptId attempt;

	private final Problem problem;

	ErrorAnswerReader(AttemptId attempt, Problem problem) {
		this.attempt = attempt;
		this.problem = problem;
	}

	@Override
	public List<WorkSignal> read(Payload bytes) {
		return List.of();
	}

	@Override
	public List<WorkSignal> end() {
		return List.of(new WorkFailed(this.attempt, this.problem));
	}

}
