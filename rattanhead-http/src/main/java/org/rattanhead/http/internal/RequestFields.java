package org.rattanhead.http.internal;

import java.util.regex.Pattern;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;

import org.rattanhead.core.Sha256;
import org.rattanhead.core.problem.Problem;
import org.rattanhead.core.problem.ProblemException;
import org.rattanhead.core.problem.ProblemKind;
import org.rattanhead.core.request.UpstreamCall;

/**
 * Reads the header fields common to all requests.
 */
final class RequestFields {

	private static final HttpString TIMEOUT_HEADER = new HttpString("X-Request-Timeout-Ms");

	private static final HttpString IDEMPOTENCY_KEY_HEADER = new HttpString("Idempotency-Key");

	private static final Pattern POSITIVE_INTEGER = Pattern.compile("[1-9]\\d{0,11}");

	private static final int MAX_KEY_LENGTH = 255;

	private static final String BEARER_PREFIX = "Bearer ";

	private RequestFields() {
	}

	static String keySha256(HttpServerExchange exchange) {
		String value = exchange.getRequestHeaders().getFirst(Headers.AUTHORIZATION);
		boolean bearer = value != null && value.regionMatches(true, 0, BEARER_PREFIX, 0, BEARER_PREFIX.length());
		return bearer ? Sha256.hex(value.substring(BEARER_PREFIX.length()).trim()) : "";
	}

	static long timeoutMillis(HttpServerExchange exchange) {
		String value = exchange.getRequestHeaders().getFirst(TIMEOUT_HEADER);
		if (value == null) {
			return 0;
		}
		if (!POSITIVE_INTEGER.matcher(value).matches()) {
			throw new ProblemException(Problem.notRun(ProblemKind.INVALID_DEADLINE,
					"X-Request-Timeout-Ms is '" + value + "', which is not a whole number of milliseconds above 0."));
		}
		return Long.parseLong(value);
	}

	static String idempotencyKey(HttpServerExchange exchange) {
		String value = exchange.getRequestHeaders().getFirst(IDEMPOTENCY_KEY_HEADER);
		if (value == null) {
			return "";
		}
		if (value.isBlank() || value.length() > MAX_KEY_LENGTH) {
			throw new ProblemException(Problem.notRun(ProblemKind.MALFORMED_REQUEST,
					"Idempotency-Key must have 1 to " + MAX_KEY_LENGTH + " characters."));
		}
		return value;
	}

	static String requestDigest(HttpServerExchange exchange, UpstreamCall call) {
		boolean keyed = exchange.getRequestHeaders().contains(IDEMPOTENCY_KEY_HEADER);
		return keyed ? Sha256.hex(call.method() + " " + call.path() + " " + Sha256.hex(call.body().bytes())) : "";
	}

	static String contentType(HttpServerExchange exchange) {
		String value = exchange.getRequestHeaders().getFirst(Headers.CONTENT_TYPE);
		return (value != null) ? value : "";
	}

}
