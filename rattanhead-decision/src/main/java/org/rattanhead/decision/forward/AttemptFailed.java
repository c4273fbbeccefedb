package org.rattanhead.decision.forward;

import org.rattanhead.core.forward.AttemptFault;
import org.rattanhead.core.request.AttemptId;

/**
 * An attempt failed before its response was complete.
 *
 * @param attempt the attempt
 * @param fault the kind of failure
 * @param detail a description for the log
 */
public record AttemptFailed(AttemptId attempt, AttemptFault fault, String detail) implements ForwardEvent {
}
