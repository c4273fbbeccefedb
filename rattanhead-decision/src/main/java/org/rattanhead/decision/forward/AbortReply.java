package org.rattanhead.decision.forward;

import org.rattanhead.core.request.RequestId;

/**
 * Closes the connection of a caller, so that a reply that was started is not taken for
 * complete.
 *
 * @param request the request
 */
public record AbortReply(RequestId request) implements ForwardCommand {
}
