package org.rattanhead.upstream;

import org.rattanhead.decision.holder.AbortCall;

/**
 * Cancels a call.
 *
 * @param command the call
 */
record StopCall(AbortCall command) implements UpstreamTask {
}
