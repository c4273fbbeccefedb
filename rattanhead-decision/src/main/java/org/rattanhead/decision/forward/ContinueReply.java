package org.rattanhead.decision.forward;

import org.rattanhead.core.Payload;
import org.rattanhead.core.request.RequestId;

/**
 * Sends a part of the reply body to a caller.
 *
 * @param request the request
 * @param bytes the part
 */
public record ContinueReply(RequestId request, Payload bytes) implements ForwardCommand {
}
