package org.rattanhead.decision.edge;

import org.rattanhead.core.problem.Problem;
import org.rattanhead.core.request.RequestId;

/**
 * Sends a problem document to the caller in place of an answer.
 *
 * @param request the request
 * @param problem the problem
 */
public record SendProblem(RequestId request, Problem problem) implements EdgeCommand {
}
