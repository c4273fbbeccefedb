package org.rattanhead.decision.forward;

/**
 * Time has passed.
 */
public record ForwardTick() implements ForwardEvent {
}
