package org.rattanhead.decision.edge;

import org.rattanhead.core.request.RequestId;

/**
 * Ends a complete answer.
 *
 * @param request the request
 */
public record EndAnswer(RequestId request) implements EdgeCommand {
}
