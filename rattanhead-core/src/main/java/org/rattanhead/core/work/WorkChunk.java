package org.rattanhead.core.work;

import org.rattanhead.core.Payload;
import org.rattanhead.core.request.AttemptId;

/**
 * The next part of the answer.
 *
 * @param attempt the attempt
 * @param bytes the bytes, to be forwarded unchanged
 */
public record WorkChunk(AttemptId attempt, Payload bytes) implements WorkSignal {
}
