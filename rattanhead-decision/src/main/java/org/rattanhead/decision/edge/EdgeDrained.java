package org.rattanhead.decision.edge;

/**
 * The daemon is shutting down and no request is in flight.
 */
public record EdgeDrained() implements EdgeCommand {
}
