package org.rattanhead.upstream.forward;

import org.rattanhead.core.request.AttemptId;

/**
 * Aborts a call.
 *
 * @param attempt the attempt
 */
record StopForward(AttemptId attempt) implements ForwardTask {
}
