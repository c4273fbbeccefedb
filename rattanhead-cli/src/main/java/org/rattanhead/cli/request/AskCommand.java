package org.rattanhead.cli.request;

import java.io.PrintStream;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

import org.rattanhead.cli.Command;
import org.rattanhead.cli.ExitCode;
import org.rattanhead.client.HttpCall;
import org.rattanhead.client.HttpClient;
import org.rattanhead.core.HttpField;
import org.rattanhead.core.Payload;
import org.rattanhead.core.host.HostAddress;

/**
 * Sends one prompt and writes the answer as it arrives.
 */
public final class AskCommand implements Command {

	private static final JsonMapper MAPPER = new JsonMapper();

	@Option(name = "--address", metaVar = "IP:PORT", required = true, usage = "address of a daemon")
	private String address;

	@Option(name = "--key", metaVar = "KEY", required = true, usage = "key of the workspace")
	private String key;

	@Option(name = "--model", metaVar = "NAME", required = true, usage = "model to request")
	private String model;

	@Option(name = "--max-tokens", metaVar = "N", usage = "longest answer, in tokens (default 64)")
	private int maxTokens = 64;

	@Option(name = "--timeout-ms", metaVar = "MS", usage = "deadline, in milliseconds (default 60000)")
	private long timeoutMillis = 60_000;

	@Argument(metaVar = "PROMPT", required = true, usage = "the prompt")
	private String prompt;

	@Override
	public ExitCode run(PrintStream out, PrintStream err) {
		try (HttpClient caller = new HttpClient("rattanhead", 1)) {
			CompletableFuture<ExitCode> done = new CompletableFuture<>();
			caller.start(call(), new PrintingObserver(out, err, done));
			return done.join();
		}
	}

	private HttpCall call() {
		ObjectNode body = MAPPER.createObjectNode().put("model", this.model).put("stream", true);
		body.put("max_tokens", this.maxTokens);
		body.putArray("messages").addObject().put("role", "user").put("content", this.prompt);
		List<HttpField> fields = List.of(new HttpField("Content-Type", "application/json"),
				new HttpField("Authorization", "Bearer " + this.key),
				new HttpField("X-Request-Timeout-Ms", Long.toString(this.timeoutMillis)));
		return new HttpCall(HostAddress.parse(this.address), "POST", "/v1/chat/completions", fields,
				Payload.of(body.toString()), this.timeoutMillis);
	}

}
