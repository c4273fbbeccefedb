package org.rattanhead.decision.forward;

import java.util.List;

/**
 * Writes a decision to the log.
 *
 * @param decision what was decided, from a small set of words
 * @param request the id inside the daemon, empty text if no request is touched
 * @param callerAttempt the caller's id of the attempt, empty text if none
 * @param upstream the instance, empty text if none
 * @param outcome what follows
 * @param inputs what decided it
 */
public record NoteDecision(String decision, String request, String callerAttempt, String upstream, String outcome,
		List<NoteInput> inputs) implements ForwardCommand {
}
