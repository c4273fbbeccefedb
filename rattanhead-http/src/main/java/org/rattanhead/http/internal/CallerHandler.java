package org.rattanhead.http.internal;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Supplier;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import org.xnio.XnioExecutor;

import org.rattanhead.core.Payload;
import org.rattanhead.core.problem.Problem;
import org.rattanhead.core.problem.ProblemException;
import org.rattanhead.core.problem.ProblemKind;
import org.rattanhead.core.request.CallerRequest;
import org.rattanhead.core.request.RequestId;
import org.rattanhead.decision.edge.EdgeEvent;
import org.rattanhead.decision.edge.RequestSubmitted;
import org.rattanhead.http.FrontEndObserver;
import org.rattanhead.http.FrontEndSettings;
import org.rattanhead.ring.EventSink;
import org.rattanhead.ring.Urgency;

/**
 * Receives the body of a request, decodes it and offers it to the edge.
 */
public final class CallerHandler implements HttpHandler {

	private static final long RETRY_AFTER_MILLIS = 1_000;

	private static final long MAX_DISCARDED_BYTES = 64L * 1024 * 1024;

	private final FrontEndSettings settings;

	private final EventSink<EdgeEvent> edge;

	private final CallerRegistry registry;

	private final FrontEndObserver observer;

	private final RequestDecoder decoder;

	private final Supplier<RequestId> ids;

	/**
	 * Creates a handler.
	 * @param settings the settings
	 * @param edge the ring of the edge
	 * @param registry registers callers that await a response
	 * @param observer receives refusals
	 * @param decoder decodes the requests
	 * @param ids supplies request ids
	 */
	public CallerHandler(FrontEndSettings settings, EventSink<EdgeEvent> edge, CallerRegistry registry,
			FrontEndObserver observer, RequestDecoder decoder, Supplier<RequestId> ids) {
		this.settings = settings;
		this.edge = edge;
		this.registry = registry;
		this.observer = observer;
		this.decoder = decoder;
		this.ids = ids;
	}

	@Override
	public void handleRequest(HttpServerExchange exchange) {
		if (!this.registry.exchanges().open(exchange)) {
			refuseAndClose(exchange, CallerRegistry.SHUTTING_DOWN);
			return;
		}
		if (exchange.getRequestContentLength() > MAX_DISCARDED_BYTES) {
			refuseAndClose(exchange, bodyTooLarge());
			return;
		}
		RequestBodyLimits limits = new RequestBodyLimits(this.settings.maxBodyBytes(),
				this.settings.bodyTimeoutMillis());
		if (exchange.getRequestContentLength() > limits.maxBytes()) {
			discard(exchange);
			return;
		}
		this.registry.exchanges()
			.readBody(exchange, limits, (body) -> submit(exchange, body),
					(problem) -> refuseAndClose(exchange, problem));
	}

	private void discard(HttpServerExchange exchange) {
		AtomicBoolean received = new AtomicBoolean();
		XnioExecutor.Key timeout = exchange.getIoThread()
			.executeAfter(() -> timeOut(exchange, received), this.settings.bodyTimeoutMillis(), TimeUnit.MILLISECONDS);
		exchange.setMaxEntitySize(MAX_DISCARDED_BYTES);
		exchange.getRequestReceiver().receivePartialBytes((sameExchange, bytes, last) -> {
			if (last && received.compareAndSet(false, true)) {
				timeout.remove();
				sameExchange.setPersistent(false);
				refuse(sameExchange, bodyTooLarge());
			}
		}, (sameExchange, ex) -> timeout.remove());
	}

	private void submit(HttpServerExchange exchange, Payload body) {
		RequestId id = this.ids.get();
		try {
			CallerRequest request = this.decoder.decode(id, exchange, body);
			offer(exchange, request);
		}
		catch (ProblemException ex) {
			refuse(exchange, ex.problem());
		}
	}

	private void offer(HttpServerExchange exchange, CallerRequest request) {
		this.registry.register(request.id(), exchange, request.call().streamed());
		if (!this.edge.offer(new RequestSubmitted(request), Urgency.NEW_WORK)) {
			this.registry.refuse(request.id(),
					Problem.notRun(ProblemKind.OVERLOADED, "The daemon is too busy.", RETRY_AFTER_MILLIS));
		}
	}

	private void timeOut(HttpServerExchange exchange, AtomicBoolean received) {
		if (received.compareAndSet(false, true)) {
			refuseAndClose(exchange, Problem.notRun(ProblemKind.SLOW_REQUEST,
					"The body did not arrive within " + this.settings.bodyTimeoutMillis() + " ms."));
		}
	}

	private Problem bodyTooLarge() {
		return Problem.notRun(ProblemKind.BODY_TOO_LARGE,
				"The body exceeds " + this.settings.maxBodyBytes() + " bytes.");
	}

	private void refuse(HttpServerExchange exchange, Problem problem) {
		this.observer.onRefused(problem.kind());
		ProblemDocuments.send(exchange, problem);
	}

	private void refuseAndClose(HttpServerExchange exchange, Problem problem) {
		this.observer.onRefused(problem.kind());
		exchange.setPersistent(false);
		ProblemDocuments.sendAndClose(exchange, problem);
	}

}
