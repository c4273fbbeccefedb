package org.rattanhead.decision.holder;

/**
 * The daemon shuts down and no work is left.
 */
public record HolderDrained() implements HolderCommand {
}
