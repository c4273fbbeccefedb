package org.rattanhead.decision.edge;

import org.rattanhead.core.problem.Problem;
import org.rattanhead.core.request.RequestId;

/**
 * Aborts an answer that has started, so that the caller cannot take it for a complete
 * one.
 *
 * @param request the request
 * @param problem the problem
 */
public record AbortAnswer(RequestId request, Problem problem) implements EdgeCommand {
}
