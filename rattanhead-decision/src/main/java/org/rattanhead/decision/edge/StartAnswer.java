package org.rattanhead.decision.edge;

import org.rattanhead.core.request.RequestId;

/**
 * Send status and header fields to the caller.
 *
 * @param request the request
 * @param upstream the upstream that answers
 * @param status the HTTP status
 * @param contentType the type of the answer
 */
public record StartAnswer(RequestId request, String upstream, int status, String contentType) implements EdgeCommand {
}
