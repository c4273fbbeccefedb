package org.rattanhead.upstream.forward;

import org.rattanhead.decision.forward.CallInstance;

/**
 * Starts a call.
 *
 * @param command the call
 */
record StartForward(CallInstance command) implements ForwardTask {
}
