package org.rattanhead.core.host;

/**
 * A host in the platform's host list.
 *
 * @param name the name
 * @param role whether it runs a daemon or an upstream
 * @param state whether it is live or leaving
 * @param failureDomain the failure domain it belongs to
 * @param callerAddress the address that callers connect to, as IP address and port; empty
 * for upstream hosts
 * @param peerAddress the address that daemons connect to, as IP address and port; empty
 * for upstream hosts
 */
public record Host(String name, HostRole role, HostState state, String failureDomain, String callerAddress,
		String peerAddress) {

	/**
	 * Returns whether the host runs a daemon that accepts new work.
	 * @return true for a live entry host
	 */
	public boolean liveEntry() {
		return this.role == HostRole.ENTRY && this.state == HostState.LIVE;
	}

}
