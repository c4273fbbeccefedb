package org.rattanhead.decision.forward;

/**
 * The grace period of the shutdown is over: every request that is left gets its final
 * reply now.
 */
public record GraceEnded() implements ForwardEvent {
}
