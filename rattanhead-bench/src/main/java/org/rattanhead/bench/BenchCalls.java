package org.rattanhead.bench;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.function.IntFunction;

import org.rattanhead.client.HttpCall;
import org.rattanhead.core.HttpField;
import org.rattanhead.core.Payload;

/**
 * Builds the HTTP calls of the measurements.
 */
final class BenchCalls {

	private static final long TIMEOUT_MILLIS = 60_000;

	private static final int PROMPT_WORDS = 600;

	private static final HttpField AUTHORIZATION = new HttpField("Authorization", "Bearer demo-key-clerks");

	private static final HttpField CONTENT_TYPE = new HttpField("Content-Type", "application/json");

	private BenchCalls() {
	}

	static IntFunction<HttpCall> chat(InetSocketAddress address, int outputTokens) {
		Payload body = Payload.of("{\"model\":\"plume-draft\",\"stream\":true,\"max_tokens\":" + outputTokens
				+ ",\"messages\":[{\"role\":\"user\",\"content\":\"" + "plume ".repeat(PROMPT_WORDS) + "\"}]}");
		return (number) -> new HttpCall(address, "POST", "/v1/chat/completions",
				List.of(AUTHORIZATION, CONTENT_TYPE, new HttpField("X-Request-Id", "direct." + number)), body,
				TIMEOUT_MILLIS);
	}

	static IntFunction<HttpCall> lookup(InetSocketAddress address) {
		return (number) -> new HttpCall(address, "POST", "/services/orders/lookup",
				List.of(AUTHORIZATION, CONTENT_TYPE), Payload.of("{}"), TIMEOUT_MILLIS);
	}

	static IntFunction<HttpCall> order(InetSocketAddress address, String keyPrefix) {
		return (number) -> new HttpCall(address, "POST", "/services/orders/orders",
				List.of(AUTHORIZATION, CONTENT_TYPE, new HttpField("Idempotency-Key", keyPrefix + "-" + number)),
				Payload.of("{}"), TIMEOUT_MILLIS);
	}

}
