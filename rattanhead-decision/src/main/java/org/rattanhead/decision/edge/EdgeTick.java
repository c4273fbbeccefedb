package org.rattanhead.decision.edge;

/**
 * Time has passed.
 */
public record EdgeTick() implements EdgeEvent {
}
