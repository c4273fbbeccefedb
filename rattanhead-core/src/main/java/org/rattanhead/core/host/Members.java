package org.rattanhead.core.host;

import java.util.List;

/**
 * The entry hosts that this daemon considers live and connected, itself included.
 *
 * @param hosts the hosts, by name
 */
public record Members(List<Host> hosts) {

	/**
	 * Copies the hosts.
	 * @param hosts the hosts
	 */
	public Members {
		hosts = List.copyOf(hosts);
	}

}
