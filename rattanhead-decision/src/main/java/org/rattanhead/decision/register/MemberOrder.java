package org.rattanhead.decision.register;

import java.util.Comparator;
import java.util.List;

import org.rattanhead.core.forward.Member;

/**
 * Orders of daemons that are the same on all daemons.
 */
final class MemberOrder {

	/**
	 * Orders hosts by hash, which mixes failure domains and is the same on all daemons.
	 */
	static final Comparator<String> HOST_ORDER = Comparator.<String>comparingInt(String::hashCode)
		.thenComparing(Comparator.naturalOrder());

	/** Orders daemons by processor time, then by host. */
	static final Comparator<Member> SERVING_ORDER = Comparator.comparingInt(Member::processorMillicores)
		.reversed()
		.thenComparing(Member::host, HOST_ORDER);

	/** The number of serving daemons that send heartbeats to each standby daemon. */
	private static final int SERVERS_PER_STANDBY = 2;

	private MemberOrder() {
	}

	/**
	 * Returns whether a serving daemon exchanges heartbeats with a standby daemon.
	 * @param servers the hosts of the serving daemons, ordered
	 * @param server the host of the serving daemon
	 * @param host the host of the standby daemon
	 * @return true if it does
	 */
	static boolean isAssigned(List<String> servers, String server, String host) {
		int first = Math.floorMod(host.hashCode(), servers.size());
		return Math.floorMod(servers.indexOf(server) - first, servers.size()) < SERVERS_PER_STANDBY;
	}

}
