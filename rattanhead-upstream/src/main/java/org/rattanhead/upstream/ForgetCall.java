package org.rattanhead.upstream;

import org.rattanhead.core.request.AttemptId;

/**
 * Removes a call that has ended.
 *
 * @param attempt the attempt
 */
record ForgetCall(AttemptId attempt) implements UpstreamTask {
}
