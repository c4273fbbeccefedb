package org.rattanhead.decision.edge;

import org.rattanhead.core.problem.Problem;
import org.rattanhead.core.request.RequestId;

/**
 * End an answer that has begun with an error, never with a clean end.
 *
 * @param request the request
 * @param problem the problem
 */
public record BreakAnswer(RequestId request, Problem problem) implements EdgeCommand {
}
