package org.rattanhead.http.internal;

import java.util.concurrent.TimeUnit;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;

import org.rattanhead.core.Payload;
import org.rattanhead.core.TurnQueue;
import org.rattanhead.core.problem.Problem;
import org.rattanhead.core.request.RequestId;
import org.rattanhead.http.FrontEndObserver;
import org.rattanhead.server.ResponseOutbox;
import org.rattanhead.server.ResponseWriter;

/**
 * The response to one caller. All access to the exchange runs on the I/O thread of the
 * connection.
 */
final class CallerStream {

	private static final HttpString REQUEST_ID_HEADER = new HttpString("X-Request-Id");

	private static final HttpString UPSTREAM_HEADER = new HttpString("X-Upstream");

	private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

	private final HttpServerExchange exchange;

	private final boolean streamed;

	private final FrontEndObserver observer;

	private final ResponseWriter writer;

	private final ResponseOutbox outbox;

	private final long registeredNanos = System.nanoTime();

	CallerStream(HttpServerExchange exchange, boolean streamed, FrontEndObserver observer, Runnable onDisconnect,
			TurnQueue turns) {
		this.exchange = exchange;
		this.streamed = streamed;
		this.observer = observer;
		this.writer = new ResponseWriter(exchange, onDisconnect);
		this.outbox = new ResponseOutbox(exchange.getIoThread(), this.writer, turns);
		ConnectionCloseListener.of(exchange.getConnection()).onClose(onDisconnect);
	}

	void start(RequestId request, String upstream, int status, String contentType) {
		this.observer.onFirstBytes((System.nanoTime() - this.registeredNanos) / NANOS_PER_SECOND);
		this.outbox.begin(() -> {
			this.exchange.setStatusCode(status);
			this.exchange.getResponseHeaders().put(REQUEST_ID_HEADER, request.value());
			this.exchange.getResponseHeaders().put(UPSTREAM_HEADER, upstream);
			if (!contentType.isEmpty()) {
				this.exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, contentType);
			}
			if (this.streamed) {
				this.exchange.getResponseHeaders().put(Headers.CACHE_CONTROL, "no-store");
			}
		});
	}

	void write(Payload bytes) {
		this.outbox.write(bytes);
	}

	void end() {
		this.outbox.end(this.writer::end);
	}

	void refuse(RequestId request, Problem problem) {
		this.outbox.end(() -> {
			this.exchange.getResponseHeaders().put(REQUEST_ID_HEADER, request.value());
			ProblemDocuments.send(this.exchange, problem);
		});
	}

	void abort(Problem problem) {
		this.outbox.end(() -> {
			if (this.streamed) {
				this.writer
					.write(Payload.of("event: error\ndata: " + ProblemDocuments.encode(problem).text() + "\n\n"));
			}
			this.writer.abort();
		});
	}

}
