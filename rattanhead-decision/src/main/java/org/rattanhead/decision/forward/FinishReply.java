package org.rattanhead.decision.forward;

import org.rattanhead.core.request.RequestId;

/**
 * Ends a complete reply.
 *
 * @param request the request
 */
public record FinishReply(RequestId request) implements ForwardCommand {
}
