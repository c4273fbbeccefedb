package org.rattanhead.decision.edge;

import org.rattanhead.core.request.CallerRequest;

/**
 * A caller sent a request.
 *
 * @param request the request
 */
public record RequestSubmitted(CallerRequest request) implements EdgeEvent {
}
