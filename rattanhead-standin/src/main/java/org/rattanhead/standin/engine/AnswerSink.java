package org.rattanhead.standin.engine;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;

import org.rattanhead.core.Payload;
import org.rattanhead.server.ResponseWriter;
import org.rattanhead.standin.AnswerText;
import org.rattanhead.standin.http.ErrorBody;
import org.rattanhead.standin.http.Replies;
import org.rattanhead.standin.http.Reply;

/**
 * Writes one answer of an engine, either as server-sent events with one token each or as
 * one JSON document.
 */
final class AnswerSink implements SequenceSink {

	private static final HttpString REQUEST_ID = new HttpString("X-Request-Id");

	private static final String CHUNK_FORMAT = "data: {\"id\":\"chatcmpl-%s\",\"object\":\"chat.completion.chunk\","
			+ "\"created\":0,\"model\":\"%s\",\"choices\":[{\"index\":0,\"delta\":%s,\"finish_reason\":%s}]}\n\n";

	private static final String ANSWER_FORMAT = "{\"id\":\"chatcmpl-%s\",\"object\":\"chat.completion\",\"created\":0,"
			+ "\"model\":\"%s\",\"choices\":[{\"index\":0,\"message\":{\"role\":\"assistant\",\"content\":\"%s\"},"
			+ "\"finish_reason\":\"stop\"}],\"usage\":{\"prompt_tokens\":%d,\"completion_tokens\":%d,\"total_tokens\":%d}}";

	private static final int CONFLICT = 409;

	private final HttpServerExchange exchange;

	private final EngineRequest request;

	private final String model;

	private final ResponseWriter writer;

	private final StringBuilder answer = new StringBuilder();

	private boolean started;

	AnswerSink(HttpServerExchange exchange, EngineRequest request, String model, Runnable onDisconnect) {
		this.exchange = exchange;
		this.request = request;
		this.model = model;
		this.writer = new ResponseWriter(exchange, onDisconnect);
	}

	@Override
	public void onToken(String answerId, int index) {
		String token = AnswerText.token(this.request.promptDigest(), index);
		if (this.request.streamed()) {
			String role = (index == 0) ? "\"role\":\"assistant\"," : "";
			write(answerId, chunk(answerId, "{" + role + "\"content\":\"" + token + "\"}", "null"));
		}
		else {
			this.answer.append(token);
		}
	}

	@Override
	public void onEnd(String answerId) {
		if (this.request.streamed()) {
			write(answerId, chunk(answerId, "{}", "\"stop\"") + "data: [DONE]\n\n");
		}
		else {
			write(answerId, String.format(ANSWER_FORMAT, answerId, this.model, this.answer, this.request.promptTokens(),
					this.request.outputTokens(), this.request.memoryTokens()));
		}
		onIoThread(this.writer::end);
	}

	@Override
	public void onFencingRejected() {
		onIoThread(() -> Replies.send(this.exchange, Reply.of(CONFLICT,
				new ErrorBody("stale fencing number", "the lease has moved; return the request to its sender"))));
	}

	@Override
	public void onReset() {
		onIoThread(() -> Replies.close(this.exchange));
	}

	private void write(String answerId, String text) {
		boolean first = !this.started;
		this.started = true;
		onIoThread(() -> {
			if (first) {
				sendHeaders(answerId);
			}
			this.writer.write(Payload.of(text));
		});
	}

	private void sendHeaders(String answerId) {
		this.exchange.getResponseHeaders().put(REQUEST_ID, answerId);
		this.exchange.getResponseHeaders()
			.put(Headers.CONTENT_TYPE, this.request.streamed() ? "text/event-stream" : "application/json");
	}

	private String chunk(String answerId, String delta, String finishReason) {
		return String.format(CHUNK_FORMAT, answerId, this.model, delta, finishReason);
	}

	private void onIoThread(Runnable action) {
		this.exchange.getIoThread().execute(action);
	}

}
