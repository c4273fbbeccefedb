package org.rattanhead.decision.holder;

/**
 * The daemon is shutting down: new work is refused, queued work is returned, and running
 * work finishes.
 */
public record HolderShutdown() implements HolderEvent {
}
