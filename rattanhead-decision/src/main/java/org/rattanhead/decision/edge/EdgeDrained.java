package org.rattanhead.decision.edge;

/**
 * The daemon shuts down and no request is left.
 */
public record EdgeDrained() implements EdgeCommand {
}
