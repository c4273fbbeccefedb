package org.rattanhead.core.host;

/**
 * A host in the platform's host list.
 *
 * @param name the name
 * @param role what it does
 * @param state whether it is live or leaving
 * @param failureDomain the failure domain it stands in
 * @param callerAddress where callers connect, IP address and port; empty for upstream
 * hosts
 * @param peerAddress where daemons connect, IP address and port; empty for upstream hosts
 */
public record Host(String name, HostRole role, HostState state, String failureDomain, String callerAddress,
		String peerAddress) {

	/**
	 * Tells whether the host runs a daemon that takes new work.
	 * @return true for a live entry host
	 */
	public boolean liveEntry() {
		return this.role == HostRole.ENTRY && this.state == HostState.LIVE;
	}

}
