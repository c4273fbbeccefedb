package org.rattanhead.decision.forward;

/**
 * The number of daemons that share limits changed. Daemons that became unresponsive only
 * recently still count, since they may be running but unreachable.
 *
 * @param daemons the daemons, this one included
 */
public record PeerCountChanged(int daemons) implements ForwardEvent {
}
