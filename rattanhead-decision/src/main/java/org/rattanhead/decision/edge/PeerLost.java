package org.rattanhead.decision.edge;

/**
 * The link to a lease holder is lost; what ran through it has no known end.
 *
 * @param host the lease holder
 */
public record PeerLost(String host) implements EdgeEvent {
}
