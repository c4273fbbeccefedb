package org.rattanhead.decision.forward;

/**
 * The number of live daemons changed.
 *
 * @param daemons the live daemons, this one included
 */
public record PeersCounted(int daemons) implements ForwardEvent {
}
