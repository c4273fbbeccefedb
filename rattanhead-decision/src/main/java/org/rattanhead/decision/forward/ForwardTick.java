package org.rattanhead.decision.forward;

/**
 * Triggers timeouts, renewals and the placement of held requests.
 */
public record ForwardTick() implements ForwardEvent {
}
