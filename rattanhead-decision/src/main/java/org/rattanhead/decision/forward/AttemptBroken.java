package org.rattanhead.decision.forward;

import org.rattanhead.core.forward.AttemptFault;
import org.rattanhead.core.request.AttemptId;

/**
 * An attempt broke before its answer was whole.
 *
 * @param attempt the attempt
 * @param fault how it broke
 * @param detail what happened
 */
public record AttemptBroken(AttemptId attempt, AttemptFault fault, String detail) implements ForwardEvent {
}
