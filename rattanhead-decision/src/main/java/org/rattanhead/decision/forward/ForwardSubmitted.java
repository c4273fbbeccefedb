package org.rattanhead.decision.forward;

import org.rattanhead.core.forward.ForwardRequest;

/**
 * A complete request of a caller was received.
 *
 * @param request the request
 */
public record ForwardSubmitted(ForwardRequest request) implements ForwardEvent {
}
