package org.rattanhead.decision.forward;

import org.rattanhead.core.forward.AnswerHead;
import org.rattanhead.core.request.AttemptId;

/**
 * An instance began to answer.
 *
 * @param attempt the attempt
 * @param head the head of the answer
 */
public record AttemptAnswered(AttemptId attempt, AnswerHead head) implements ForwardEvent {
}
