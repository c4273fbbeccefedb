package org.rattanhead.upstream;

import org.rattanhead.core.request.AttemptId;

/**
 * Removes a call that has ended.
 *
 * @param attempt the attempt
 */
record RemoveCall(AttemptId attempt) implements UpstreamTask {
}
