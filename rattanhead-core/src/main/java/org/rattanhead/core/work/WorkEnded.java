package org.rattanhead.core.work;

import org.rattanhead.core.request.AttemptId;

/**
 * The answer is complete.
 *
 * @param attempt the attempt
 */
public record WorkEnded(AttemptId attempt) implements WorkSignal {
}
