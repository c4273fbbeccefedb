package org.rattanhead.upstream;

import org.rattanhead.decision.holder.CallUpstream;

/**
 * Starts a call.
 *
 * @param command the call
 */
record StartCall(CallUpstream command) implements UpstreamTask {
}
