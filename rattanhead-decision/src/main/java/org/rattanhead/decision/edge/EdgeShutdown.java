package org.rattanhead.decision.edge;

/**
 * The daemon shuts down: no new requests, the running ones finish.
 */
public record EdgeShutdown() implements EdgeEvent {
}
