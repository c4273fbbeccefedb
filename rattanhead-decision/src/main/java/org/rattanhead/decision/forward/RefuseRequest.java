package org.rattanhead.decision.forward;

import org.rattanhead.core.problem.Problem;
import org.rattanhead.core.request.RequestId;

/**
 * Tells a caller why there is no answer.
 *
 * @param request the request
 * @param problem the problem
 */
public record RefuseRequest(RequestId request, Problem problem) implements ForwardCommand {
}
