package org.rattanhead.decision.forward;

import org.rattanhead.core.Payload;
import org.rattanhead.core.request.AttemptId;

/**
 * A part of the response body was received.
 *
 * @param attempt the attempt
 * @param bytes the part
 */
public record AttemptContinued(AttemptId attempt, Payload bytes) implements ForwardEvent {
}
