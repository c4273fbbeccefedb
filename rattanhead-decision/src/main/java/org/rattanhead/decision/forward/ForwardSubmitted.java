package org.rattanhead.decision.forward;

import org.rattanhead.core.forward.ForwardRequest;

/**
 * A complete request of a caller was received.
 *
 * @param request the request
 * @param viaPeer whether another daemon passed it on, which must not get it back
 */
public record ForwardSubmitted(ForwardRequest request, boolean viaPeer) implements ForwardEvent {

	/**
	 * Creates an event for a request that came from its caller.
	 * @param request the request
	 */
	public ForwardSubmitted(ForwardRequest request) {
		this(request, false);
	}

}
