package org.rattanhead.decision.forward;

import org.rattanhead.core.request.AttemptId;

/**
 * An answer ended as its framing says.
 *
 * @param attempt the attempt
 */
public record AttemptFinished(AttemptId attempt) implements ForwardEvent {
}
