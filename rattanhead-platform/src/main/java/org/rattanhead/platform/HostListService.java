package org.rattanhead.platform;

import java.util.concurrent.CompletableFuture;

import org.rattanhead.core.host.HostList;

/**
 * The platform's host list. The list may lag behind the actual state of the hosts.
 */
@FunctionalInterface
public interface HostListService {

	/**
	 * Reads the list.
	 * @return the hosts
	 */
	CompletableFuture<HostList> hosts();

}
