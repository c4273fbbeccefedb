package org.rattanhead.standin.engine;

import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiFunction;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.SameThreadExecutor;

import org.rattanhead.core.Payload;
import org.rattanhead.ring.EventSink;
import org.rattanhead.ring.Urgency;
import org.rattanhead.standin.http.ErrorBody;
import org.rattanhead.standin.http.Replies;
import org.rattanhead.standin.http.Reply;

/**
 * The HTTP interface of an engine.
 */
final class EngineRoutes implements HttpHandler {

	private static final Pattern CANCEL = Pattern.compile("/requests/(.+)/cancel");

	private static final Pattern FREE = Pattern.compile("/memory/(.+)/free");

	private static final int BAD_REQUEST = 400;

	private static final int NOT_FOUND = 404;

	private final EngineProfile profile;

	private final EventSink<EngineEvent> events;

	EngineRoutes(EngineProfile profile, EventSink<EngineEvent> events) {
		this.profile = profile;
		this.events = events;
	}

	@Override
	public void handleRequest(HttpServerExchange exchange) {
		String path = exchange.getRequestPath();
		Matcher cancel = CANCEL.matcher(path);
		Matcher free = FREE.matcher(path);
		if (path.endsWith("/completions")) {
			Replies.receiveBody(exchange, (body) -> handleCompletion(exchange, body));
		}
		else if (cancel.matches()) {
			this.events.offer(new SequenceCancelled(cancel.group(1)), Urgency.CONTROL);
			Replies.send(exchange, Reply.ok(cancel.group(1)));
		}
		else if (free.matches()) {
			requestState(exchange, (state, now) -> Reply.ok(state.freeMemory(free.group(1))));
		}
		else if ("/load".equals(path)) {
			requestState(exchange,
					(state, now) -> state.down(now) ? Reply.noAnswer() : Reply.ok(state.reportedLoad(now)));
		}
		else if ("/memory".equals(path)) {
			requestState(exchange, (state, now) -> Reply.ok(state.heldMemory()));
		}
		else if ("/counts".equals(path)) {
			requestState(exchange, (state, now) -> Reply.ok(state.counts()));
		}
		else if ("/faults".equals(path)) {
			Replies.receiveBody(exchange, (body) -> setFault(exchange, body));
		}
		else {
			Replies.send(exchange, Reply.of(NOT_FOUND,
					new ErrorBody("unknown path", "use /v1/chat/completions, /load, /memory, /counts or /faults")));
		}
	}

	private void handleCompletion(HttpServerExchange exchange, Payload body) {
		try {
			EngineRequest request = RequestParser.parse(exchange, body);
			AnswerSink sink = new AnswerSink(exchange, request, this.profile.model(),
					() -> this.events.offer(new SequenceCancelled(request.id()), Urgency.CONTROL));
			exchange.dispatch(SameThreadExecutor.INSTANCE,
					() -> this.events.offer(new SequenceArrived(request, sink), Urgency.CONTROL));
		}
		catch (IOException ex) {
			Replies.send(exchange, Reply.of(BAD_REQUEST, new ErrorBody(ex.getMessage(), "send a valid request")));
		}
	}

	private void setFault(HttpServerExchange exchange, Payload body) {
		try {
			FaultBody fault = Replies.MAPPER.readValue(body.bytes(), FaultBody.class);
			this.events.offer(new FaultRequested(fault), Urgency.CONTROL);
			Replies.send(exchange, Reply.ok(fault));
		}
		catch (IOException ex) {
			Replies.send(exchange, Reply.of(BAD_REQUEST, new ErrorBody("malformed fault", "send fault and amount")));
		}
	}

	private void requestState(HttpServerExchange exchange, BiFunction<EngineSimulator, Long, Reply> operation) {
		CompletableFuture<Reply> reply = new CompletableFuture<>();
		this.events.offer(new StateRequested(operation, reply, true), Urgency.CONTROL);
		Replies.sendWhenComplete(exchange, reply);
	}

}
