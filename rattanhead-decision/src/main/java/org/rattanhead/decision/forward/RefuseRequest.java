package org.rattanhead.decision.forward;

import org.rattanhead.core.problem.Problem;
import org.rattanhead.core.request.RequestId;

/**
 * Sends a problem to a caller in place of a reply.
 *
 * @param request the request
 * @param problem the problem
 */
public record RefuseRequest(RequestId request, Problem problem) implements ForwardCommand {
}
