package org.rattanhead.http.internal;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import io.undertow.util.SameThreadExecutor;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

import org.rattanhead.core.HttpField;
import org.rattanhead.core.Payload;
import org.rattanhead.core.forward.ForwardRequest;
import org.rattanhead.core.problem.Problem;
import org.rattanhead.core.problem.ProblemException;
import org.rattanhead.core.problem.ProblemKind;
import org.rattanhead.core.request.RequestId;
import org.rattanhead.decision.forward.ForwardEvent;
import org.rattanhead.decision.forward.ForwardSubmitted;
import org.rattanhead.decision.forward.RefuseRequest;
import org.rattanhead.http.forward.ForwardCodec;
import org.rattanhead.http.forward.ForwardSettings;
import org.rattanhead.http.forward.RequestHead;
import org.rattanhead.ring.EventSink;
import org.rattanhead.ring.Urgency;

/**
 * Receives a complete request, decodes it and offers it to the forwarding decisions.
 * Requests with more than one Content-Length, with both Content-Length and
 * Transfer-Encoding, or with a transfer coding other than chunked are refused, since
 * ambiguous framing allows request smuggling.
 */
public final class ForwardHandler implements HttpHandler {

	private static final Logger LOGGER = LogManager.getLogger(ForwardHandler.class);

	private static final long RETRY_AFTER_MILLIS = 300;

	private final String idPrefix;

	private final ForwardSettings settings;

	private final ForwardCodec codec;

	private final EventSink<ForwardEvent> forwardEvents;

	private final ForwardRegistry registry;

	private final AtomicLong sequence = new AtomicLong();

	/**
	 * Creates a handler.
	 * @param daemonName the name of this daemon, for request ids
	 * @param settings limits the size of the body and the time in which it must arrive
	 * @param codec decodes requests
	 * @param forwardEvents the ring of the forwarding decisions
	 * @param registry registers callers that await a response
	 */
	public ForwardHandler(String daemonName, ForwardSettings settings, ForwardCodec codec,
			EventSink<ForwardEvent> forwardEvents, ForwardRegistry registry) {
		// The start time keeps ids unique across restarts.
		this.idPrefix = daemonName + "-" + Long.toString(System.currentTimeMillis(), Character.MAX_RADIX) + "-";
		this.settings = settings;
		this.codec = codec;
		this.forwardEvents = forwardEvents;
		this.registry = registry;
	}

	@Override
	public void handleRequest(HttpServerExchange exchange) {
		if (!this.registry.open(exchange)) {
			return;
		}
		RequestId id = new RequestId(this.idPrefix + this.sequence.incrementAndGet());
		if (hasUnsupportedFraming(exchange.getRequestHeaders())) {
			refuseAndClose(exchange, id, Problem.notRun(ProblemKind.MALFORMED_REQUEST,
					"The body length is ambiguous: send one Content-Length or 'Transfer-Encoding: chunked'."));
			return;
		}
		RequestBodyLimits limits = new RequestBodyLimits(this.settings.maxBodyBytes(),
				this.settings.bodyTimeoutMillis());
		if (exchange.getRequestContentLength() > limits.maxBytes()) {
			refuseAndClose(exchange, id, limits.tooLarge());
			return;
		}
		this.registry.exchanges()
			.readBody(exchange, limits, (body) -> submit(exchange, id, body),
					(problem) -> refuseAndClose(exchange, id, problem));
	}

	private void submit(HttpServerExchange exchange, RequestId id, Payload body) {
		this.registry.register(id, exchange);
		int port = exchange.getConnection().getLocalAddress(InetSocketAddress.class).getPort();
		boolean viaPeer = this.settings.relayAddress().filter((address) -> address.getPort() == port).isPresent();
		decode(exchange, id, body).ifPresent((request) -> offer(new ForwardSubmitted(request, viaPeer)));
	}

	private Optional<ForwardRequest> decode(HttpServerExchange exchange, RequestId id, Payload body) {
		try {
			return Optional.of(this.codec.decode(requestHead(exchange, id), body));
		}
		catch (ProblemException ex) {
			this.registry.refuse(new RefuseRequest(id, ex.problem()));
		}
		catch (RuntimeException | Error ex) {
			LOGGER.error("http: the head of request {} cannot be decoded; the request is refused", id, ex);
			this.registry.refuse(new RefuseRequest(id,
					Problem.notRun(ProblemKind.INTERNAL, "The head of the request cannot be decoded.")));
		}
		return Optional.empty();
	}

	private void offer(ForwardSubmitted event) {
		if (!this.forwardEvents.offer(event, Urgency.NEW_WORK)) {
			this.registry.refuse(new RefuseRequest(event.request().id(), Problem.notRun(ProblemKind.OVERLOADED,
					"The queue of forwarded requests is full.", RETRY_AFTER_MILLIS)));
		}
	}

	private void refuseAndClose(HttpServerExchange exchange, RequestId id, Problem problem) {
		exchange.setPersistent(false);
		exchange.dispatch(SameThreadExecutor.INSTANCE, () -> {
			this.registry.register(id, exchange);
			this.registry.refuse(new RefuseRequest(id, problem));
		});
	}

	private static boolean hasUnsupportedFraming(HeaderMap headers) {
		HeaderValues lengths = headers.get(Headers.CONTENT_LENGTH);
		HeaderValues codings = headers.get(Headers.TRANSFER_ENCODING);
		boolean multipleLengths = lengths != null && lengths.size() > 1;
		boolean unsupportedCoding = codings != null
				&& (codings.size() > 1 || !codings.getFirst().trim().toLowerCase(Locale.ROOT).equals("chunked"));
		return multipleLengths || unsupportedCoding || (lengths != null && codings != null);
	}

	private static RequestHead requestHead(HttpServerExchange exchange, RequestId id) {
		List<HttpField> fields = new ArrayList<>();
		for (HeaderValues values : exchange.getRequestHeaders()) {
			values.forEach((value) -> fields.add(new HttpField(values.getHeaderName().toString(), value)));
		}
		String path = exchange.isHostIncludedInRequestURI() ? exchange.getRequestPath() : exchange.getRequestURI();
		String query = exchange.getQueryString();
		String host = exchange.getRequestHeaders().getFirst(Headers.HOST);
		return new RequestHead(id, exchange.getRequestMethod().toString(), (host != null) ? host : "",
				query.isEmpty() ? path : path + "?" + query, path, fields);
	}

}
