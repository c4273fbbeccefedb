package org.rattanhead.decision.forward;

/**
 * The number of daemons changed. Daemons that became unresponsive only recently still
 * count, since they may be running but unreachable.
 *
 * @param daemons the daemons that share limits, this one included
 * @param fleet all daemons, including those on standby
 */
public record PeerCountChanged(int daemons, int fleet) implements ForwardEvent {

	/**
	 * Creates the event for a fleet in which all daemons share limits.
	 * @param daemons the daemons, this one included
	 */
	public PeerCountChanged(int daemons) {
		this(daemons, daemons);
	}

}
