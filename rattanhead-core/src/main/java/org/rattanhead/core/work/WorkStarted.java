package org.rattanhead.core.work;

import org.rattanhead.core.request.AttemptId;

/**
 * The upstream has started to answer.
 *
 * @param attempt the attempt
 * @param upstream the upstream that answers
 * @param status the HTTP status of the answer
 * @param contentType the type of the answer
 */
public record WorkStarted(AttemptId attempt, String upstream, int status, String contentType) implements WorkSignal {
}
