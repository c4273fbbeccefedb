package org.rattanhead.http.internal;

import java.nio.ByteBuffer;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

import io.undertow.server.HttpHandler;
import io.undertow.util.Headers;
import io.undertow.util.StatusCodes;

import org.rattanhead.core.Payload;

/**
 * Handlers of read-only pages.
 */
public final class PageHandlers {

	private static final String PLAIN_TEXT = "text/plain; charset=utf-8";

	private PageHandlers() {
	}

	/**
	 * Serves text.
	 * @param text the text
	 * @return the handler
	 */
	public static HttpHandler text(Supplier<String> text) {
		return page(PLAIN_TEXT, () -> Payload.of(text.get()));
	}

	/**
	 * Serves JSON.
	 * @param json the JSON text
	 * @return the handler
	 */
	public static HttpHandler json(Supplier<Payload> json) {
		return page("application/json", json);
	}

	/**
	 * Serves metrics in Prometheus text format.
	 * @param metrics the metrics
	 * @return the handler
	 */
	public static HttpHandler metrics(Supplier<Payload> metrics) {
		return page("text/plain; version=0.0.4; charset=utf-8", metrics);
	}

	/**
	 * Serves whether the daemon accepts new work.
	 * @param ready whether it does
	 * @return the handler
	 */
	public static HttpHandler ready(BooleanSupplier ready) {
		return (exchange) -> {
			boolean isReady = ready.getAsBoolean();
			exchange.setStatusCode(isReady ? StatusCodes.OK : StatusCodes.SERVICE_UNAVAILABLE);
			exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, PLAIN_TEXT);
			exchange.getResponseSender().send(isReady ? "ready\n" : "not ready: use another address\n");
		};
	}

	private static HttpHandler page(String contentType, Supplier<Payload> content) {
		return (exchange) -> {
			exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, contentType);
			exchange.getResponseSender().send(ByteBuffer.wrap(content.get().bytes()));
		};
	}

}
