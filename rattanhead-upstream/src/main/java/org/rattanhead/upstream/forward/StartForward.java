package org.rattanhead.upstream.forward;

import org.rattanhead.decision.forward.CallInstance;

/**
 * Starts a call.
 *
 * @param command the call
 * @param call receives the call in progress
 */
record StartForward(CallInstance command, AttemptCall call) implements ForwardTask {
}
