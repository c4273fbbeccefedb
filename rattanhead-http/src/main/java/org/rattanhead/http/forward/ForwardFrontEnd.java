package org.rattanhead.http.forward;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import io.undertow.Handlers;
import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.StatusCodes;
import org.xnio.XnioWorker;

import org.rattanhead.decision.forward.ForwardEvent;
import org.rattanhead.http.internal.ForwardHandler;
import org.rattanhead.http.internal.ForwardRegistry;
import org.rattanhead.http.internal.HttpWorkers;
import org.rattanhead.http.internal.PageSender;
import org.rattanhead.ring.EventSink;

/**
 * The HTTP server for requests that are forwarded, and for pages that the daemon serves
 * itself.
 */
public final class ForwardFrontEnd implements AutoCloseable {

	private static final int BUFFER_BYTES = 16 * 1024;

	private static final int LISTEN_BACKLOG = 512;

	/** Not the server's own, so that connections outlive the listeners. */
	private final XnioWorker worker = HttpWorkers.create();

	private final Undertow server;

	private final ForwardRegistry registry;

	/**
	 * Starts the server.
	 * @param daemonName the name of this daemon, for request ids
	 * @param settings the settings
	 * @param codec translates requests and refusals
	 * @param decisions the ring of the forwarding decisions
	 * @param pages the pages
	 */
	public ForwardFrontEnd(String daemonName, ForwardSettings settings, ForwardCodec codec,
			EventSink<ForwardEvent> decisions, List<ServedPage> pages) {
		this.registry = new ForwardRegistry(codec, decisions);
		HttpHandler forwardHandler = Handlers
			.httpContinueRead(new ForwardHandler(daemonName, settings, codec, decisions, this.registry));
		Undertow.Builder builder = Undertow.builder()
			.setWorker(this.worker)
			.setBufferSize(BUFFER_BYTES)
			.setSocketOption(org.xnio.Options.BACKLOG, LISTEN_BACKLOG)
			.setServerOption(UndertowOptions.MAX_HEADER_SIZE, settings.maxHeaderBytes())
			// The size of the head bounds the numbers of its parts.
			.setServerOption(UndertowOptions.MAX_HEADERS, settings.maxHeaderBytes())
			.setServerOption(UndertowOptions.MAX_PARAMETERS, settings.maxHeaderBytes())
			.setServerOption(UndertowOptions.MAX_ENTITY_SIZE, settings.maxBodyBytes())
			.setServerOption(UndertowOptions.REQUEST_PARSE_TIMEOUT, (int) settings.headerTimeoutMillis())
			.setServerOption(UndertowOptions.NO_REQUEST_TIMEOUT, (int) settings.idleTimeoutMillis())
			.setServerOption(UndertowOptions.ALWAYS_SET_DATE, false)
			.setServerOption(UndertowOptions.DECODE_URL, false)
			.setServerOption(UndertowOptions.ALLOW_UNESCAPED_CHARACTERS_IN_URL, true)
			.setHandler(routeByPort(settings, forwardHandler, pages));
		Set<InetSocketAddress> addresses = new LinkedHashSet<>();
		addresses.add(settings.listenAddress());
		settings.relayAddress().ifPresent(addresses::add);
		pages.forEach((page) -> addresses.add(page.address()));
		addresses.forEach((address) -> builder.addHttpListener(address.getPort(), address.getHostString()));
		this.server = builder.build();
		this.server.start();
	}

	/**
	 * Returns the writer of responses to callers.
	 * @return the writer
	 */
	public ForwardReplyWriter replies() {
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

	/**
	 * Closes the listeners. Connections that are open stay in use.
	 */
	public void stopAccepting() {
		this.server.stop();
	}

	private static HttpHandler routeByPort(ForwardSettings settings, HttpHandler forwardHandler,
			List<ServedPage> pages) {
		Map<Integer, Map<String, ServedPage>> pagesByPort = new HashMap<>();
		pages.forEach((page) -> pagesByPort.computeIfAbsent(page.address().getPort(), (port) -> new HashMap<>())
			.put(page.path(), page));
		Set<Integer> requestPorts = new HashSet<>();
		requestPorts.add(settings.listenAddress().getPort());
		settings.relayAddress().ifPresent((address) -> requestPorts.add(address.getPort()));
		return (exchange) -> {
			int port = exchange.getConnection().getLocalAddress(InetSocketAddress.class).getPort();
			ServedPage page = pagesByPort.getOrDefault(port, Map.of()).get(exchange.getRequestPath());
			if (page != null) {
				PageSender.send(exchange, page.content().get());
			}
			else if (requestPorts.contains(port)) {
				forwardHandler.handleRequest(exchange);
			}
			else {
				sendNotFound(exchange);
			}
		};
	}

	private static void sendNotFound(HttpServerExchange exchange) {
		exchange.setStatusCode(StatusCodes.NOT_FOUND);
		exchange.endExchange();
	}

	@Override
	public void close() {
		this.server.stop();
		HttpWorkers.shutDown(this.worker);
	}

}
