package org.rattanhead.decision.forward;

import org.rattanhead.core.forward.ForwardRequest;

/**
 * A caller sent a whole request.
 *
 * @param request the request
 */
public record ForwardSubmitted(ForwardRequest request) implements ForwardEvent {
}
