package org.rattanhead.decision.forward;

/**
 * The number of daemons that share limits changed. Daemons that fell silent a short time
 * ago count, since they may only be out of reach.
 *
 * @param daemons the daemons, this one included
 */
public record PeersCounted(int daemons) implements ForwardEvent {
}
