package org.rattanhead.standin.log;

import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;

import org.rattanhead.core.Payload;
import org.rattanhead.ring.EventSink;
import org.rattanhead.ring.Urgency;
import org.rattanhead.standin.http.ErrorBody;
import org.rattanhead.standin.http.Replies;
import org.rattanhead.standin.http.Reply;

/**
 * The HTTP interface of the log service.
 */
final class LogRoutes implements HttpHandler {

	private static final Pattern RECORDS = Pattern.compile("/streams/([a-z0-9-]+)/records");

	private static final int NOT_FOUND = 404;

	private final EventSink<LogEvent> events;

	LogRoutes(EventSink<LogEvent> events) {
		this.events = events;
	}

	@Override
	public void handleRequest(HttpServerExchange exchange) {
		Matcher records = RECORDS.matcher(exchange.getRequestPath());
		boolean post = "POST".equals(exchange.getRequestMethod().toString());
		if (records.matches() && post) {
			Replies.receiveBody(exchange, (body) -> append(exchange, records.group(1), body));
		}
		else if (records.matches()) {
			read(exchange, records.group(1));
		}
		else if ("/faults".equals(exchange.getRequestPath()) && post) {
			Replies.receiveBody(exchange, (body) -> setFaults(exchange, body));
		}
		else {
			Replies.send(exchange, Reply.of(NOT_FOUND, new ErrorBody("unknown path", "use /streams/NAME/records")));
		}
	}

	private void append(HttpServerExchange exchange, String stream, Payload body) {
		CompletableFuture<Reply> reply = new CompletableFuture<>();
		submit(new AppendRequested(stream, body, reply), reply);
		Replies.sendWhenComplete(exchange, reply);
	}

	private void read(HttpServerExchange exchange, String stream) {
		CompletableFuture<Reply> reply = new CompletableFuture<>();
		submit(new ReadRequested(stream, numberParameter(exchange, "from"), numberParameter(exchange, "wait-ms"),
				reply), reply);
		Replies.sendWhenComplete(exchange, reply);
	}

	private void setFaults(HttpServerExchange exchange, Payload body) {
		try {
			LogFaults faults = Replies.MAPPER.readValue(body.bytes(), LogFaults.class);
			this.events.offer(new LogFaultsRequested(faults), Urgency.CONTROL);
			Replies.send(exchange, Reply.ok(faults));
		}
		catch (IOException ex) {
			Replies.send(exchange,
					Reply.of(NOT_FOUND, new ErrorBody("malformed faults", "send down, loseAnswers and delayMillis")));
		}
	}

	private void submit(LogEvent event, CompletableFuture<Reply> reply) {
		if (!this.events.offer(event, Urgency.CONTROL)) {
			reply.complete(Reply.noAnswer());
		}
	}

	private static long numberParameter(HttpServerExchange exchange, String name) {
		return exchange.getQueryParameters().containsKey(name)
				? Long.parseLong(exchange.getQueryParameters().get(name).getFirst()) : 0;
	}

}
