package org.rattanhead.decision.holder;

/**
 * Periodic timer event.
 */
public record HolderTick() implements HolderEvent {
}
