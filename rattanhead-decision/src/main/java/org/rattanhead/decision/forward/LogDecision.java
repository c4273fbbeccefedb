package org.rattanhead.decision.forward;

import java.util.List;

/**
 * Writes a decision to the log.
 *
 * @param decision the kind of decision, from a fixed set of words
 * @param request the id of the request inside the daemon, empty if the decision concerns
 * none
 * @param callerAttempt the id that the caller gave the attempt, empty if none
 * @param upstream the instance, empty if none
 * @param outcome the result of the decision
 * @param inputs the values that led to the decision
 */
public record LogDecision(String decision, String request, String callerAttempt, String upstream, String outcome,
		List<DecisionInput> inputs) implements ForwardCommand {
}
