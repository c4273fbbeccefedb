package org.rattanhead.core.work;

import org.rattanhead.core.request.AttemptId;

/**
 * The answer is whole.
 *
 * @param attempt the attempt
 */
public record WorkEnded(AttemptId attempt) implements WorkSignal {
}
