package org.rattanhead.upstream;

import org.rattanhead.core.request.AttemptId;

/**
 * Forget a call that has ended.
 *
 * @param attempt its attempt
 */
record ForgetCall(AttemptId attempt) implements UpstreamTask {
}
