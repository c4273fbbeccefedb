package org.rattanhead.decision.edge;

/**
 * A periodic tick that drives deadlines.
 */
public record EdgeTick() implements EdgeEvent {
}
