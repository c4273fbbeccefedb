package org.rattanhead.decision.edge;

import org.rattanhead.core.Payload;
import org.rattanhead.core.request.RequestId;

/**
 * Sends the next part of the answer to the caller.
 *
 * @param request the request
 * @param bytes the bytes
 */
public record WriteAnswer(RequestId request, Payload bytes) implements EdgeCommand {
}
