package org.rattanhead.http.internal;

import java.nio.ByteBuffer;

import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;

import org.rattanhead.core.Payload;
import org.rattanhead.core.problem.Problem;
import org.rattanhead.core.problem.ProblemKind;
import org.rattanhead.http.FrontEndObserver;

/**
 * Problem documents of RFC 9457, with the error object of the OpenAI API.
 */
public final class ProblemDocuments {

	private static final JsonMapper MAPPER = new JsonMapper();

	private static final String TYPE_PREFIX = "urn:rattanhead:problem:";

	private static final long MILLIS_PER_SECOND = 1_000;

	private ProblemDocuments() {
	}

	/**
	 * Encodes a problem.
	 * @param problem the problem
	 * @return the JSON text
	 */
	public static Payload encode(Problem problem) {
		ProblemKind kind = problem.kind();
		ObjectNode node = MAPPER.createObjectNode();
		node.put("type", TYPE_PREFIX + kind.slug());
		node.put("title", kind.slug().replace('-', ' '));
		node.put("status", kind.status());
		node.put("detail", problem.detail());
		node.put("remedy", kind.remedy());
		node.put("execution", problem.execution().label());
		ObjectNode error = node.putObject("error");
		error.put("message", problem.detail() + " " + kind.remedy());
		error.put("type", kind.slug());
		error.put("code", kind.slug());
		return Payload.of(node.toString());
	}

	/**
	 * Sends a problem document.
	 * @param exchange the exchange, whose response has not started
	 * @param problem the problem
	 */
	public static void send(HttpServerExchange exchange, Problem problem) {
		setHead(exchange, problem);
		exchange.getResponseSender().send(ByteBuffer.wrap(encode(problem).bytes()));
	}

	static void sendAndClose(HttpServerExchange exchange, Problem problem) {
		setHead(exchange, problem);
		exchange.getResponseSender().send(ByteBuffer.wrap(encode(problem).bytes()), new LingeringClose());
	}

	static void setHead(HttpServerExchange exchange, Problem problem) {
		exchange.setStatusCode(problem.kind().status());
		exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/problem+json");
		if (problem.retryAfterMillis() > 0) {
			long seconds = (problem.retryAfterMillis() + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
			exchange.getResponseHeaders().put(Headers.RETRY_AFTER, seconds);
		}
	}

	/**
	 * Refuses every request with the problem "unknown path".
	 * @param observer receives refusals
	 * @return the handler
	 */
	public static HttpHandler unknownPath(FrontEndObserver observer) {
		return (exchange) -> {
			observer.onRefused(ProblemKind.UNKNOWN_PATH);
			send(exchange,
					Problem.notRun(ProblemKind.UNKNOWN_PATH, "No resource at '" + exchange.getRequestPath() + "'."));
		};
	}

}
