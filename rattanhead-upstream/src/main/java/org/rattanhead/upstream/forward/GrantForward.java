package org.rattanhead.upstream.forward;

import org.rattanhead.decision.forward.GrantBytes;

/**
 * Allows a call to receive more of its answer.
 *
 * @param command the call and the number of bytes
 */
record GrantForward(GrantBytes command) implements ForwardTask {
}
