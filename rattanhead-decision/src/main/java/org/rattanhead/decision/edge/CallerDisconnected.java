package org.rattanhead.decision.edge;

import org.rattanhead.core.request.RequestId;

/**
 * The caller's connection closed before the answer was complete.
 *
 * @param request the request
 */
public record CallerDisconnected(RequestId request) implements EdgeEvent {
}
