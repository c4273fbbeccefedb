package org.rattanhead.decision.edge;

import org.rattanhead.core.request.RequestId;

/**
 * End a whole answer.
 *
 * @param request the request
 */
public record EndAnswer(RequestId request) implements EdgeCommand {
}
