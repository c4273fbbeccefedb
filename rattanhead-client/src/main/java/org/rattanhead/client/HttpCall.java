package org.rattanhead.client;

import java.net.InetSocketAddress;
import java.util.List;

import org.rattanhead.core.HttpField;
import org.rattanhead.core.Payload;

/**
 * An HTTP request and its timeout.
 *
 * @param address where to connect
 * @param method the HTTP method
 * @param path path and query
 * @param fields header fields besides Host and Content-Length
 * @param body the body, {@link Payload#EMPTY} for none
 * @param timeoutMillis the timeout of the complete call, in milliseconds
 * @param slowReplyMillis the timeout of the complete call while the body of the reply
 * keeps arriving, in milliseconds; no more time is given if it is at most the timeout
 */
public record HttpCall(InetSocketAddress address, String method, String path, List<HttpField> fields, Payload body,
		long timeoutMillis, long slowReplyMillis) {

	/**
	 * Builds a call whose timeout does not depend on the progress of the reply.
	 * @param address where to connect
	 * @param method the HTTP method
	 * @param path path and query
	 * @param fields header fields besides Host and Content-Length
	 * @param body the body, {@link Payload#EMPTY} for none
	 * @param timeoutMillis the timeout of the complete call, in milliseconds
	 */
	public HttpCall(InetSocketAddress address, String method, String path, List<HttpField> fields, Payload body,
			long timeoutMillis) {
		this(address, method, path, fields, body, timeoutMillis, timeoutMillis);
	}

	/**
	 * Builds a call without a body.
	 * @param address where to connect
	 * @param path path and query
	 * @param timeoutMillis the timeout, in milliseconds
	 * @return the call
	 */
	public static HttpCall get(InetSocketAddress address, String path, long timeoutMillis) {
		return new HttpCall(address, "GET", path, List.of(), Payload.EMPTY, timeoutMillis);
	}

	/**
	 * Builds a call with a JSON body.
	 * @param address where to connect
	 * @param path path and query
	 * @param json the body
	 * @param timeoutMillis the timeout, in milliseconds
	 * @return the call
	 */
	public static HttpCall post(InetSocketAddress address, String path, Payload json, long timeoutMillis) {
		return new HttpCall(address, "POST", path, List.of(new HttpField("Content-Type", "application/json")), json,
				timeoutMillis);
	}

	/**
	 * Returns a copy that gives a reply that arrives slowly more time.
	 * @param millis the timeout of the complete call while the body of the reply keeps
	 * arriving, in milliseconds
	 * @return the copy
	 */
	public HttpCall allowingSlowReply(long millis) {
		return new HttpCall(this.address, this.method, this.path, this.fields, this.body, this.timeoutMillis, millis);
	}

}
