package org.rattanhead.http.internal;

import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;

import io.undertow.server.HttpServerExchange;

import org.rattanhead.core.problem.Problem;

/**
 * The request bodies that have not arrived whole, so that a shutdown can give them up.
 */
final class BodiesInProgress {

	private final ConcurrentMap<HttpServerExchange, RequestBodyReader> readers = new ConcurrentHashMap<>();

	private volatile Problem reason;

	/**
	 * Adds a body, and gives it up if the others have been given up.
	 * @param exchange the exchange
	 * @param reader reads the body
	 */
	void add(HttpServerExchange exchange, RequestBodyReader reader) {
		this.readers.put(exchange, reader);
		Problem known = this.reason;
		if (known != null) {
			giveUp(exchange, reader, known);
		}
	}

	void remove(HttpServerExchange exchange) {
		this.readers.remove(exchange);
	}

	/**
	 * Gives up all bodies, including those that are added later.
	 * @param problem the reason
	 */
	void giveUpAll(Problem problem) {
		this.reason = problem;
		this.readers.forEach((exchange, reader) -> giveUp(exchange, reader, problem));
	}

	private static void giveUp(HttpServerExchange exchange, RequestBodyReader reader, Problem problem) {
		exchange.getIoThread().execute(() -> reader.giveUp(problem));
	}

}
