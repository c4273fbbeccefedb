package org.rattanhead.decision.edge;

import org.rattanhead.core.request.RequestId;

/**
 * Sends the status and the header fields to the caller.
 *
 * @param request the request
 * @param upstream the upstream that answers, empty for a kept answer
 * @param status the HTTP status
 * @param contentType the content type of the answer
 */
public record StartAnswer(RequestId request, String upstream, int status, String contentType) implements EdgeCommand {
}
