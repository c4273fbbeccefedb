package org.rattanhead.http.internal;

import java.nio.ByteBuffer;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HttpString;

import org.rattanhead.http.forward.RefusalReply;

/**
 * Refuses requests on their I/O thread and closes their connections.
 */
final class RefusalSender {

	private RefusalSender() {
	}

	/**
	 * Writes a refusal before this method returns, as far as the connection accepts it.
	 * @param exchange the exchange
	 * @param reply the refusal
	 */
	static void send(HttpServerExchange exchange, RefusalReply reply) {
		exchange.setPersistent(false);
		exchange.setStatusCode(reply.status());
		reply.fields()
			.forEach((field) -> exchange.getResponseHeaders().add(new HttpString(field.name()), field.value()));
		exchange.getResponseSender().send(ByteBuffer.wrap(reply.body().bytes()));
	}

}
