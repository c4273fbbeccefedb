package org.rattanhead.decision.edge;

/**
 * The grace period of the shutdown is over: every request that is left gets its final
 * answer now.
 */
public record EdgeGraceEnded() implements EdgeEvent {
}
