package org.rattanhead.cli.catalogue;

import org.rattanhead.client.HttpClient;
import org.rattanhead.core.host.HostAddress;
import org.rattanhead.platform.HttpLogService;
import org.rattanhead.platform.catalogue.CatalogueClient;

/**
 * A client of the catalogue stream for the duration of one subcommand.
 */
final class LogAccess implements AutoCloseable {

	private final HttpClient caller = new HttpClient("rattanhead", 1);

	private final CatalogueClient catalogue;

	LogAccess(String address) {
		this.catalogue = new CatalogueClient(new HttpLogService(this.caller, HostAddress.parse(address)));
	}

	CatalogueClient catalogue() {
		return this.catalogue;
	}

	@Override
	public void close() {
		this.caller.close();
	}

}
