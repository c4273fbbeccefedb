package org.rattanhead.platform;

import java.util.concurrent.CompletableFuture;

import org.rattanhead.core.host.HostList;

/**
 * The platform's host list. It lags.
 */
@FunctionalInterface
public interface HostListService {

	/**
	 * Reads the list.
	 * @return the hosts
	 */
	CompletableFuture<HostList> hosts();

}
