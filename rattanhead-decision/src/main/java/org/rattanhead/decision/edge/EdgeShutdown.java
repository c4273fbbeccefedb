package org.rattanhead.decision.edge;

/**
 * The daemon starts to shut down: new requests are refused, and requests in flight run to
 * their end.
 */
public record EdgeShutdown() implements EdgeEvent {
}
