package org.rattanhead.standin.http;

import java.nio.ByteBuffer;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

import com.fasterxml.jackson.databind.json.JsonMapper;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.SameThreadExecutor;
import org.xnio.IoUtils;

import org.rattanhead.core.Payload;

/**
 * Sends the replies of stand-ins.
 */
public final class Replies {

	/** The JSON mapper of the stand-ins. */
	public static final JsonMapper MAPPER = new JsonMapper();

	private Replies() {
	}

	/**
	 * Receives the complete body of a request.
	 * @param exchange the exchange
	 * @param onBody receives the body
	 */
	public static void receiveBody(HttpServerExchange exchange, Consumer<Payload> onBody) {
		exchange.getRequestReceiver().receiveFullBytes((receivedFrom, bytes) -> onBody.accept(new Payload(bytes)));
	}

	/**
	 * Sends a reply once it is complete, or closes the connection if it failed.
	 * @param exchange the exchange
	 * @param reply the future reply
	 */
	public static void sendWhenComplete(HttpServerExchange exchange, CompletableFuture<Reply> reply) {
		exchange.dispatch(SameThreadExecutor.INSTANCE, () -> reply
			.whenComplete((result, failure) -> exchange.getIoThread().execute(() -> send(exchange, result))));
	}

	/**
	 * Sends a reply, or closes the connection if there is none.
	 * @param exchange the exchange
	 * @param reply the reply, null or with status {@link Reply#NO_ANSWER} for none
	 */
	public static void send(HttpServerExchange exchange, Reply reply) {
		if (reply == null || reply.status() == Reply.NO_ANSWER) {
			close(exchange);
			return;
		}
		exchange.setStatusCode(reply.status());
		exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
		exchange.getResponseSender().send(ByteBuffer.wrap(reply.json().bytes()));
	}

	/**
	 * Closes the connection without a reply.
	 * @param exchange the exchange
	 */
	public static void close(HttpServerExchange exchange) {
		IoUtils.safeClose(exchange.getConnection());
	}

}
