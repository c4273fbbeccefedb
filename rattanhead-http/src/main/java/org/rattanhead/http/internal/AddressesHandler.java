package org.rattanhead.http.internal;

import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;

import org.rattanhead.http.FrontEndPages;

/**
 * Serves the addresses of the daemons, with the time for which callers may cache them.
 */
public final class AddressesHandler implements HttpHandler {

	private static final JsonMapper MAPPER = new JsonMapper();

	private final FrontEndPages pages;

	private final long ttlMillis;

	/**
	 * Creates the handler.
	 * @param pages supplies the membership
	 * @param ttlMillis how long the response may be cached, in milliseconds
	 */
	public AddressesHandler(FrontEndPages pages, long ttlMillis) {
		this.pages = pages;
		this.ttlMillis = ttlMillis;
	}

	@Override
	public void handleRequest(HttpServerExchange exchange) {
		ObjectNode node = MAPPER.createObjectNode().put("ttlMillis", this.ttlMillis);
		ArrayNode addresses = node.putArray("addresses");
		this.pages.membership()
			.get()
			.addresses()
			.forEach((host) -> addresses.addObject()
				.put("address", host.callerAddress())
				.put("failureDomain", host.failureDomain()));
		exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
		exchange.getResponseSender().send(node.toString());
	}

}
