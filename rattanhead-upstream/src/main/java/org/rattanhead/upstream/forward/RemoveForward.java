package org.rattanhead.upstream.forward;

import org.rattanhead.core.request.AttemptId;

/**
 * Removes a call that has ended.
 *
 * @param attempt the attempt
 */
record RemoveForward(AttemptId attempt) implements ForwardTask {
}
