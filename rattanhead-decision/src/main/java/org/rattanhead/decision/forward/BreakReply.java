package org.rattanhead.decision.forward;

import org.rattanhead.core.request.RequestId;

/**
 * Closes the connection of a caller, so that an answer that has begun does not look
 * whole.
 *
 * @param request the request
 */
public record BreakReply(RequestId request) implements ForwardCommand {
}
