package org.rattanhead.core.forward;

import java.util.List;
import java.util.Optional;

import org.rattanhead.core.request.AttemptId;

/**
 * A request that is forwarded to an instance.
 *
 * @param attempt the id of the attempt
 * @param request the request
 * @param instance the instance that receives it
 * @param workspace the workspace that is charged, empty if the route needs no key
 * @param remainingMillis the time left until the deadline, in milliseconds
 * @param urgency the scheduling urgency at the engine; 0 is the highest
 * @param helpers the instances that help to read the prompt
 * @param resumeAfter the id of the last event that the caller received, if the stream is
 * resumed
 * @param freshConnection whether a connection that carried other calls must not be reused
 * @param relayed whether the instance stands for another daemon, which handles the
 * request as it came from the caller
 */
public record ForwardCall(AttemptId attempt, ForwardRequest request, UpstreamInstance instance, String workspace,
		long remainingMillis, int urgency, List<Helper> helpers, Optional<String> resumeAfter, boolean freshConnection,
		boolean relayed) {

	/**
	 * Creates a call of an instance.
	 * @param attempt the id of the attempt
	 * @param request the request
	 * @param instance the instance that receives it
	 * @param workspace the workspace that is charged, empty if the route needs no key
	 * @param remainingMillis the time left until the deadline, in milliseconds
	 * @param urgency the scheduling urgency at the engine; 0 is the highest
	 * @param helpers the instances that help to read the prompt
	 * @param resumeAfter the id of the last event that the caller received, if the stream
	 * is resumed
	 * @param freshConnection whether a connection that carried other calls must not be
	 * reused
	 */
	public ForwardCall(AttemptId attempt, ForwardRequest request, UpstreamInstance instance, String workspace,
			long remainingMillis, int urgency, List<Helper> helpers, Optional<String> resumeAfter,
			boolean freshConnection) {
		this(attempt, request, instance, workspace, remainingMillis, urgency, helpers, resumeAfter, freshConnection,
				false);
	}

}
