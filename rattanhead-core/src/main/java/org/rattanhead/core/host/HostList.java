package org.rattanhead.core.host;

import java.util.List;

/**
 * A response of the platform's host list.
 *
 * @param hosts the hosts
 */
public record HostList(List<Host> hosts) {

	/** The list before the first response. */
	public static final HostList EMPTY = new HostList(List.of());

	/**
	 * Creates a list with an unmodifiable copy of the hosts.
	 * @param hosts the hosts
	 */
	public HostList {
		hosts = List.copyOf(hosts);
	}

	/**
	 * Lists the hosts whose daemons accept new work.
	 * @return the live entry hosts
	 */
	public List<Host> liveEntries() {
		return this.hosts.stream().filter(Host::liveEntry).toList();
	}

}
