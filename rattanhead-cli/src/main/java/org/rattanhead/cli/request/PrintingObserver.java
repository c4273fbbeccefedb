package org.rattanhead.cli.request;

import java.io.IOException;
import java.io.PrintStream;
import java.util.concurrent.CompletableFuture;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;

import org.rattanhead.cli.ExitCode;
import org.rattanhead.client.CallFailure;
import org.rattanhead.client.HttpHead;
import org.rattanhead.client.ReplyObserver;
import org.rattanhead.client.SseParser;
import org.rattanhead.core.Payload;

/**
 * Prints the tokens of a streamed answer as they arrive, or the problem document.
 */
final class PrintingObserver implements ReplyObserver {

	private static final JsonMapper MAPPER = new JsonMapper();

	private static final int OK = 200;

	private final PrintStream out;

	private final PrintStream err;

	private final CompletableFuture<ExitCode> done;

	private final SseParser parser = new SseParser();

	private final StringBuilder problem = new StringBuilder();

	private HttpHead head;

	private boolean complete;

	PrintingObserver(PrintStream out, PrintStream err, CompletableFuture<ExitCode> done) {
		this.out = out;
		this.err = err;
		this.done = done;
	}

	@Override
	public void onHead(HttpHead newHead) {
		this.head = newHead;
	}

	@Override
	public boolean onBytes(Payload bytes) {
		if (this.head.status() == OK) {
			this.parser.feed(bytes).forEach(this::print);
		}
		else {
			this.problem.append(bytes.text());
		}
		return true;
	}

	@Override
	public void onEnd() {
		if (this.head.status() == OK) {
			this.out.println();
			if (!this.complete && this.problem.isEmpty()) {
				this.err.println("The answer is incomplete: its stream has no end marker; send the request again");
			}
			this.done.complete((this.complete && this.problem.isEmpty()) ? ExitCode.OK : ExitCode.FAILED);
		}
		else {
			report(this.problem.toString());
			this.done.complete(ExitCode.FAILED);
		}
	}

	@Override
	public void onFailure(CallFailure failure, String detail) {
		this.err.println("The answer is incomplete (" + failure + "): " + detail + "; send the request again");
		this.done.complete(ExitCode.FAILED);
	}

	private void print(String data) {
		if (SseParser.END.equals(data)) {
			this.complete = true;
			return;
		}
		JsonNode node = parse(data);
		if (node.has("error")) {
			this.problem.append(data);
			report(data);
			return;
		}
		this.out.print(node.path("choices").path(0).path("delta").path("content").asText());
		this.out.flush();
	}

	private void report(String text) {
		JsonNode node = parse(text);
		this.err.println(node.path("title").asText("failure") + " (" + node.path("execution").asText("unknown") + "): "
				+ node.path("detail").asText(text) + " " + node.path("remedy").asText());
	}

	private static JsonNode parse(String text) {
		try {
			return MAPPER.readTree(text);
		}
		catch (IOException ex) {
			return MAPPER.createObjectNode().put("detail", text);
		}
	}

}
