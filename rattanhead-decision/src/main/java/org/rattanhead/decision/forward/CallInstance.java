package org.rattanhead.decision.forward;

import org.rattanhead.core.forward.ForwardCall;

/**
 * Sends a request to an instance.
 *
 * @param call the call
 * @param connectMillis the connect timeout, in milliseconds
 */
public record CallInstance(ForwardCall call, long connectMillis) implements ForwardCommand {
}
