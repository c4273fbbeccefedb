package org.rattanhead.core.forward;

import java.util.List;
import java.util.Optional;

import org.rattanhead.core.request.AttemptId;

/**
 * A request on its way to an instance.
 *
 * @param attempt names the attempt
 * @param request the request
 * @param instance where it goes
 * @param workspace who is charged, empty text if the route needs no key
 * @param remainingMillis what is left of the deadline, in milliseconds
 * @param urgency the urgency at the engine, 0 is first
 * @param helpers the instances that help to read the prompt
 * @param resumeAfter the last event that the caller has
 * @param freshConnection whether a connection that carried other calls is not to be used
 */
public record ForwardCall(AttemptId attempt, ForwardRequest request, UpstreamInstance instance, String workspace,
		long remainingMillis, int urgency, List<Helper> helpers, Optional<String> resumeAfter,
		boolean freshConnection) {
}
