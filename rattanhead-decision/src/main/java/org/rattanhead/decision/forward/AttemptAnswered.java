package org.rattanhead.decision.forward;

import org.rattanhead.core.forward.AnswerHead;
import org.rattanhead.core.request.AttemptId;

/**
 * The response of an instance started.
 *
 * @param attempt the attempt
 * @param head the status and header fields
 */
public record AttemptAnswered(AttemptId attempt, AnswerHead head) implements ForwardEvent {
}
