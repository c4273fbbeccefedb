package org.rattanhead.decision.holder;

/**
 * Report that the daemon is shutting down and no work is queued or running.
 */
public record HolderDrained() implements HolderCommand {
}
