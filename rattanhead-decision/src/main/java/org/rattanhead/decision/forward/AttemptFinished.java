package org.rattanhead.decision.forward;

import org.rattanhead.core.request.AttemptId;

/**
 * The response ended as its framing announced.
 *
 * @param attempt the attempt
 */
public record AttemptFinished(AttemptId attempt) implements ForwardEvent {
}
