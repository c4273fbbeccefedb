package org.rattanhead.cli.load;

import java.io.IOException;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;

import org.rattanhead.client.CallFailure;
import org.rattanhead.client.HttpHead;
import org.rattanhead.client.ReplyObserver;
import org.rattanhead.client.SseParser;
import org.rattanhead.core.Payload;

/**
 * Receives the answer to one request of a load and reports its outcome.
 */
final class LoadObserver implements ReplyObserver {

	private static final JsonMapper MAPPER = new JsonMapper();

	private static final int OK = 200;

	private static final long NO_TOKEN = -1;

	private final PlannedRequest request;

	private final AnswerCheck check;

	private final long dueNanos;

	private final Consumer<LoadOutcome> onOutcome;

	private final SseParser parser = new SseParser();

	private final StringBuilder text = new StringBuilder();

	private final StringBuilder problem = new StringBuilder();

	private int status;

	private boolean complete;

	private long firstTokenMicros = NO_TOKEN;

	LoadObserver(PlannedRequest request, AnswerCheck check, long dueNanos, Consumer<LoadOutcome> onOutcome) {
		this.request = request;
		this.check = check;
		this.dueNanos = dueNanos;
		this.onOutcome = onOutcome;
	}

	@Override
	public void onHead(HttpHead head) {
		this.status = head.status();
	}

	@Override
	public boolean onBytes(Payload bytes) {
		if (this.status == OK) {
			this.parser.feed(bytes).forEach(this::handleEvent);
		}
		else {
			this.problem.append(bytes.text());
		}
		return true;
	}

	@Override
	public void onEnd() {
		finish(problemType(this.problem.toString()));
	}

	@Override
	public void onFailure(CallFailure failure, String detail) {
		finish(this.problem.isEmpty() ? failure.toString() : problemType(this.problem.toString()));
	}

	private void handleEvent(String data) {
		if (SseParser.END.equals(data)) {
			this.complete = true;
			return;
		}
		JsonNode node = parse(data);
		if (node.has("error")) {
			this.problem.append(data);
			return;
		}
		if (this.firstTokenMicros == NO_TOKEN) {
			this.firstTokenMicros = sinceDueMicros();
		}
		this.text.append(node.path("choices").path(0).path("delta").path("content").asText());
	}

	private void finish(String detail) {
		boolean correct = this.complete && this.check.accepts(this.text.toString());
		this.onOutcome.accept(new LoadOutcome(this.request, this.status, detail, this.complete, correct,
				this.firstTokenMicros, sinceDueMicros()));
	}

	private long sinceDueMicros() {
		return TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - this.dueNanos);
	}

	private static String problemType(String text) {
		return text.isEmpty() ? "" : parse(text).path("error").path("type").asText("unreadable");
	}

	private static JsonNode parse(String text) {
		try {
			return MAPPER.readTree(text);
		}
		catch (IOException ex) {
			return MAPPER.createObjectNode();
		}
	}

}
