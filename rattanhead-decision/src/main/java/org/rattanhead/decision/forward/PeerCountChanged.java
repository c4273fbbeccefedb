package org.rattanhead.decision.forward;

/**
 * The number of daemons changed. Daemons that became unresponsive only recently still
 * count, since they may be running but unreachable.
 *
 * @param daemons the daemons that share limits, this one included
 * @param heard the daemons whose load updates this daemon receives, this one included
 * @param fleet all daemons, including those on standby
 */
public record PeerCountChanged(int daemons, int heard, int fleet) implements ForwardEvent {

	/**
	 * Creates the event for a fleet in which all daemons share limits.
	 * @param daemons the daemons, this one included
	 */
	public PeerCountChanged(int daemons) {
		this(daemons, daemons, daemons);
	}

	/**
	 * Creates the event for a fleet in which all daemons that share limits are known to
	 * be alive.
	 * @param daemons the daemons that share limits, this one included
	 * @param fleet all daemons
	 */
	public PeerCountChanged(int daemons, int fleet) {
		this(daemons, daemons, fleet);
	}

}
