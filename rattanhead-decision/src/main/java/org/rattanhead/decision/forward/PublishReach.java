package org.rattanhead.decision.forward;

/**
 * Tells callers, by way of readiness and directory, and other daemons whether this daemon
 * is stranded.
 *
 * @param stranded whether it has lost its links to the instances while other daemons
 * reach them
 */
public record PublishReach(boolean stranded) implements ForwardCommand {
}
