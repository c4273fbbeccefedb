package org.rattanhead.standin.engine;

import java.io.IOException;

import com.fasterxml.jackson.databind.JsonNode;
import io.undertow.server.HttpServerExchange;

import org.rattanhead.core.Payload;
import org.rattanhead.standin.AnswerText;
import org.rattanhead.standin.http.Replies;

/**
 * Parses requests of the OpenAI interface.
 */
final class RequestParser {

	private static final int CHARACTERS_PER_TOKEN = 4;

	private static final int DEFAULT_OUTPUT_TOKENS = 256;

	private static final String REQUEST_ID = "X-Request-Id";

	private static final String FENCING_NUMBER = "X-Fencing-Number";

	private static final String PRIORITY = "X-Request-Priority";

	private RequestParser() {
	}

	static EngineRequest parse(HttpServerExchange exchange, Payload body) throws IOException {
		JsonNode node = Replies.MAPPER.readTree(body.bytes());
		String prompt = prompt(node);
		int promptTokens = (prompt.length() + CHARACTERS_PER_TOKEN - 1) / CHARACTERS_PER_TOKEN;
		int outputTokens = node.path("max_completion_tokens")
			.asInt(node.path("max_tokens").asInt(DEFAULT_OUTPUT_TOKENS));
		return new EngineRequest(header(exchange, REQUEST_ID, "none"),
				Integer.parseInt(header(exchange, PRIORITY, "0")), AnswerText.digest(prompt), Math.max(1, promptTokens),
				outputTokens, node.path("stream").asBoolean(), Long.parseLong(header(exchange, FENCING_NUMBER, "0")));
	}

	private static String prompt(JsonNode node) throws IOException {
		if (node.has("prompt")) {
			return node.get("prompt").asText();
		}
		if (!node.has("messages")) {
			throw new IOException("the request has neither 'messages' nor 'prompt'");
		}
		StringBuilder text = new StringBuilder();
		node.get("messages").forEach((message) -> text.append(content(message.path("content"))));
		return text.toString();
	}

	private static String content(JsonNode content) {
		if (content.isTextual()) {
			return content.asText();
		}
		StringBuilder text = new StringBuilder();
		content.forEach((part) -> text.append(part.path("text").asText()));
		return text.toString();
	}

	private static String header(HttpServerExchange exchange, String name, String defaultValue) {
		String value = exchange.getRequestHeaders().getFirst(name);
		return (value != null) ? value : defaultValue;
	}

}
