package org.rattanhead.http;

import java.util.Locale;
import java.util.concurrent.atomic.AtomicLong;

import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.HttpHandler;
import io.undertow.server.handlers.PathHandler;

import org.rattanhead.core.request.RequestId;
import org.rattanhead.decision.edge.EdgeEvent;
import org.rattanhead.http.internal.AddressesHandler;
import org.rattanhead.http.internal.CallerHandler;
import org.rattanhead.http.internal.CallerRegistry;
import org.rattanhead.http.internal.ChatDecoder;
import org.rattanhead.http.internal.MethodHandler;
import org.rattanhead.http.internal.ModelsHandler;
import org.rattanhead.http.internal.PageHandlers;
import org.rattanhead.http.internal.ProblemDocuments;
import org.rattanhead.http.internal.RequestDecoder;
import org.rattanhead.http.internal.ServiceDecoder;
import org.rattanhead.ring.EventSink;

/**
 * The HTTP server. Its I/O threads belong to Undertow.
 */
public final class FrontEnd implements AutoCloseable {

	private final Undertow server;

	private final CallerRegistry registry;

	private final String daemonName;

	private final AtomicLong sequence = new AtomicLong();

	private final String bootId = Long.toString(System.currentTimeMillis(), Character.MAX_RADIX);

	/**
	 * Starts the server.
	 * @param daemonName the name of this daemon
	 * @param settings the settings
	 * @param edge the ring of the edge
	 * @param pages the sources of the pages that the daemon serves itself
	 * @param observer receives refusals and latencies
	 */
	public FrontEnd(String daemonName, FrontEndSettings settings, EventSink<EdgeEvent> edge, FrontEndPages pages,
			FrontEndObserver observer) {
		this.daemonName = daemonName;
		this.registry = new CallerRegistry(edge, observer);
		this.server = Undertow.builder()
			.addHttpListener(settings.listenAddress().getPort(), settings.listenAddress().getHostString())
			.setIoThreads(settings.ioThreads())
			.setWorkerThreads(1)
			.setServerOption(UndertowOptions.MAX_ENTITY_SIZE, settings.maxBodyBytes())
			.setServerOption(UndertowOptions.REQUEST_PARSE_TIMEOUT, (int) settings.bodyTimeoutMillis())
			.setHandler(routes(settings, edge, pages, observer))
			.build();
		this.server.start();
	}

	/**
	 * Returns the writer of responses to callers.
	 * @return the writer
	 */
	public AnswerWriter answers() {
		return this.registry;
	}

	/**
	 * Refuses whatever is read from now on, with the requests whose body has not arrived
	 * whole, and waits until all responses are written. Afterwards the front end can be
	 * closed without cutting a request.
	 * @param timeoutMillis the longest wait, in milliseconds
	 * @return whether all are written
	 * @throws InterruptedException if the wait is interrupted
	 */
	public boolean finish(long timeoutMillis) throws InterruptedException {
		return this.registry.finish(timeoutMillis);
	}

	private HttpHandler routes(FrontEndSettings settings, EventSink<EdgeEvent> edge, FrontEndPages pages,
			FrontEndObserver observer) {
		PathHandler routes = new PathHandler(ProblemDocuments.unknownPath(observer));
		routes.addExactPath("/v1/chat/completions", postHandler(settings, edge, observer, new ChatDecoder()));
		routes.addExactPath("/v1/completions", postHandler(settings, edge, observer, new ChatDecoder()));
		routes.addPrefixPath("/services",
				new CallerHandler(settings, edge, this.registry, observer, new ServiceDecoder(), this::nextId));
		routes.addExactPath("/v1/models", MethodHandler.get(new ModelsHandler(pages, observer), observer));
		routes.addExactPath("/v1/addresses",
				MethodHandler.get(new AddressesHandler(pages, settings.addressTtlMillis()), observer));
		routes.addExactPath("/healthz", MethodHandler.get(PageHandlers.text(() -> "alive\n"), observer));
		routes.addExactPath("/readyz", MethodHandler.get(PageHandlers.ready(pages.ready()), observer));
		routes.addExactPath("/metrics", MethodHandler.get(PageHandlers.metrics(pages.metrics()), observer));
		routes.addExactPath("/status", MethodHandler.get(PageHandlers.json(pages.status()), observer));
		return routes;
	}

	private HttpHandler postHandler(FrontEndSettings settings, EventSink<EdgeEvent> edge, FrontEndObserver observer,
			RequestDecoder decoder) {
		return MethodHandler.post(new CallerHandler(settings, edge, this.registry, observer, decoder, this::nextId),
				observer);
	}

	private RequestId nextId() {
		return new RequestId(
				String.format(Locale.ROOT, "%s-%s-%d", this.daemonName, this.bootId, this.sequence.incrementAndGet()));
	}

	@Override
	public void close() {
		this.server.stop();
	}

}
