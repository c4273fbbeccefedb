package org.rattanhead.platform;

import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;

import org.rattanhead.client.HttpCall;
import org.rattanhead.client.HttpClient;
import org.rattanhead.client.HttpReply;
import org.rattanhead.core.host.HostList;
import org.rattanhead.core.problem.RemedyException;
import org.rattanhead.platform.internal.HostJson;

/**
 * HTTP client of the host list service.
 */
public final class HttpHostListService implements HostListService {

	private static final long TIMEOUT_MILLIS = 2_000;

	private static final int OK = 200;

	private final HttpClient caller;

	private final InetSocketAddress address;

	/**
	 * Creates a client.
	 * @param caller the HTTP client
	 * @param address the address of the service
	 */
	public HttpHostListService(HttpClient caller, InetSocketAddress address) {
		this.caller = caller;
		this.address = address;
	}

	@Override
	public CompletableFuture<HostList> hosts() {
		return this.caller.call(HttpCall.get(this.address, "/hosts", TIMEOUT_MILLIS)).thenApply(this::decode);
	}

	private HostList decode(HttpReply reply) {
		if (reply.status() != OK) {
			throw new RemedyException("The host list at " + this.address + " answered with status " + reply.status(),
					"check the host list service; the daemon retries automatically");
		}
		return HostJson.decode(reply.body());
	}

}
