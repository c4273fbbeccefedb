package org.rattanhead.decision.forward;

import org.rattanhead.core.forward.UpstreamInstance;

/**
 * Asks an instance for any answer, on a new connection. The outcome is reported by
 * {@link InstanceProbed}.
 *
 * @param instance the instance
 * @param timeoutMillis the time-out, in milliseconds
 */
public record ProbeInstance(UpstreamInstance instance, long timeoutMillis) implements ForwardCommand {
}
