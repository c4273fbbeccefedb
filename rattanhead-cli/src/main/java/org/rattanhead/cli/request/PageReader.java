package org.rattanhead.cli.request;

import org.rattanhead.client.HttpCall;
import org.rattanhead.client.HttpClient;
import org.rattanhead.client.HttpReply;
import org.rattanhead.core.host.HostAddress;
import org.rattanhead.core.problem.RemedyException;

/**
 * Fetches a page that a daemon serves over HTTP.
 */
final class PageReader {

	private static final long TIMEOUT_MILLIS = 5_000;

	private static final int OK = 200;

	private PageReader() {
	}

	static String read(String address, String path) {
		try (HttpClient caller = new HttpClient("rattanhead", 1)) {
			HttpReply reply = caller.call(HttpCall.get(HostAddress.parse(address), path, TIMEOUT_MILLIS)).join();
			if (reply.status() != OK) {
				throw new RemedyException("The daemon at " + address + " responded with HTTP status " + reply.status(),
						"check that the address is that of a daemon");
			}
			return reply.body().text();
		}
	}

}
