package org.rattanhead.decision.holder;

/**
 * The daemon shuts down: no new work, running work finishes.
 */
public record HolderShutdown() implements HolderEvent {
}
