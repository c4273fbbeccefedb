package org.rattanhead.decision.forward;

import org.rattanhead.core.request.AttemptId;

/**
 * Closes the connection of an attempt.
 *
 * @param attempt the attempt
 */
public record AbortAttempt(AttemptId attempt) implements ForwardCommand {
}
