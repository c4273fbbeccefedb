package org.rattanhead.decision.holder;

/**
 * Time has passed.
 */
public record HolderTick() implements HolderEvent {
}
