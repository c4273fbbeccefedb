package org.rattanhead.http.internal;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.Methods;

import org.rattanhead.core.problem.Problem;
import org.rattanhead.core.problem.ProblemKind;
import org.rattanhead.http.FrontEndObserver;

/**
 * Accepts one HTTP method and refuses the others.
 */
public final class MethodHandler implements HttpHandler {

	private final HttpString method;

	private final HttpHandler next;

	private final FrontEndObserver observer;

	private MethodHandler(HttpString method, HttpHandler next, FrontEndObserver observer) {
		this.method = method;
		this.next = next;
		this.observer = observer;
	}

	/**
	 * Accepts GET only.
	 * @param next the handler of accepted requests
	 * @param observer receives refusals
	 * @return the handler
	 */
	public static HttpHandler get(HttpHandler next, FrontEndObserver observer) {
		return new MethodHandler(Methods.GET, next, observer);
	}

	/**
	 * Accepts POST only.
	 * @param next the handler of accepted requests
	 * @param observer receives refusals
	 * @return the handler
	 */
	public static HttpHandler post(HttpHandler next, FrontEndObserver observer) {
		return new MethodHandler(Methods.POST, next, observer);
	}

	@Override
	public void handleRequest(HttpServerExchange exchange) throws Exception {
		if (exchange.getRequestMethod().equals(this.method)) {
			this.next.handleRequest(exchange);
			return;
		}
		exchange.getResponseHeaders().put(Headers.ALLOW, this.method.toString());
		this.observer.onRefused(ProblemKind.METHOD_NOT_ALLOWED);
		ProblemDocuments.send(exchange, Problem.notRun(ProblemKind.METHOD_NOT_ALLOWED,
				"The path accepts " + this.method + ", not " + exchange.getRequestMethod() + "."));
	}

}
