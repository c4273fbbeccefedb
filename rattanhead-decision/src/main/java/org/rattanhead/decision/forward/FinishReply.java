package org.rattanhead.decision.forward;

import org.rattanhead.core.request.RequestId;

/**
 * Ends a whole answer.
 *
 * @param request the request
 */
public record FinishReply(RequestId request) implements ForwardCommand {
}
