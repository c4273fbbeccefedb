package org.rattanhead.platform;

import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;

import org.rattanhead.client.HttpCall;
import org.rattanhead.client.HttpClient;
import org.rattanhead.client.HttpReply;
import org.rattanhead.core.Payload;
import org.rattanhead.core.problem.RemedyException;
import org.rattanhead.platform.internal.LogJson;

/**
 * HTTP client of the log service.
 */
public final class HttpLogService implements LogService {

	private static final long TIMEOUT_MILLIS = 2_000;

	private static final int CREATED = 201;

	private static final int OK = 200;

	private final HttpClient caller;

	private final InetSocketAddress address;

	/**
	 * Creates a client.
	 * @param caller the HTTP client
	 * @param address the address of the service
	 */
	public HttpLogService(HttpClient caller, InetSocketAddress address) {
		this.caller = caller;
		this.address = address;
	}

	@Override
	public CompletableFuture<Long> append(String stream, Payload payload) {
		HttpCall call = HttpCall.post(this.address, "/streams/" + stream + "/records", payload, TIMEOUT_MILLIS);
		return this.caller.call(call).thenApply((reply) -> LogJson.offset(requireStatus(CREATED, reply)));
	}

	@Override
	public CompletableFuture<LogPage> read(String stream, long fromOffset, long waitMillis) {
		String path = "/streams/" + stream + "/records?from=" + fromOffset + "&wait-ms=" + waitMillis;
		HttpCall call = HttpCall.get(this.address, path, TIMEOUT_MILLIS + waitMillis);
		return this.caller.call(call).thenApply((reply) -> LogJson.page(requireStatus(OK, reply)));
	}

	private Payload requireStatus(int status, HttpReply reply) {
		if (reply.status() != status) {
			throw new RemedyException("The log service at " + this.address + " answered with status " + reply.status(),
					"check the log service; the daemon retries automatically");
		}
		return reply.body();
	}

}
