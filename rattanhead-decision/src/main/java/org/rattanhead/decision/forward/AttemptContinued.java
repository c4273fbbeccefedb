package org.rattanhead.decision.forward;

import org.rattanhead.core.Payload;
import org.rattanhead.core.request.AttemptId;

/**
 * A part of an answer arrived.
 *
 * @param attempt the attempt
 * @param bytes the part
 */
public record AttemptContinued(AttemptId attempt, Payload bytes) implements ForwardEvent {
}
