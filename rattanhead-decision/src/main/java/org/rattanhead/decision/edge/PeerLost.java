package org.rattanhead.decision.edge;

/**
 * The link to a lease holder is lost; the outcome of work sent through it is unknown.
 *
 * @param host the lease holder
 */
public record PeerLost(String host) implements EdgeEvent {
}
