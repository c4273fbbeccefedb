package org.rattanhead.decision.forward;

import org.rattanhead.core.request.RequestId;

/**
 * The connection of a caller closed before its answer was whole.
 *
 * @param request the request
 */
public record ForwardCallerLeft(RequestId request) implements ForwardEvent {
}
