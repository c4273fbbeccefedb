package org.rattanhead.server;

import java.io.IOException;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import org.xnio.Options;

/**
 * How a caller recognises the end of a response. Without a length or chunks, a response
 * that is broken off looks complete, since it ends with its connection in both cases.
 */
final class ResponseFraming {

	private ResponseFraming() {
	}

	/**
	 * Makes a response of unknown length chunked where the protocol of the request allows
	 * it, also on a connection that is closed after the response.
	 * @param exchange the exchange, whose response has not started
	 */
	static void apply(HttpServerExchange exchange) {
		if (!framed(exchange) && exchange.isHttp11()) {
			exchange.getResponseHeaders().put(Headers.TRANSFER_ENCODING, Headers.CHUNKED.toString());
		}
	}

	/**
	 * Makes the close of the connection a reset if the response has neither a length nor
	 * chunks, so that it does not look complete.
	 * @param exchange the exchange
	 * @throws IOException if the connection is closed already
	 */
	static void resetUnlessFramed(HttpServerExchange exchange) throws IOException {
		if (!framed(exchange)) {
			exchange.getConnection().setOption(Options.CLOSE_ABORT, true);
		}
	}

	private static boolean framed(HttpServerExchange exchange) {
		return exchange.getResponseHeaders().contains(Headers.CONTENT_LENGTH)
				|| exchange.getResponseHeaders().contains(Headers.TRANSFER_ENCODING);
	}

}
