package org.rattanhead.decision.forward;

import org.rattanhead.core.request.RequestId;

/**
 * A caller disconnected before its reply was complete.
 *
 * @param request the request
 */
public record ForwardCallerDisconnected(RequestId request) implements ForwardEvent {
}
