package org.rattanhead.core.work;

import org.rattanhead.core.problem.Problem;
import org.rattanhead.core.request.AttemptId;

/**
 * The attempt ended without a complete answer.
 *
 * @param attempt the attempt
 * @param problem the cause
 */
public record WorkFailed(AttemptId attempt, Problem problem) implements WorkSignal {
}
