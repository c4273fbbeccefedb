package org.rattanhead.http.internal;

import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;

import io.undertow.server.HttpServerExchange;

import org.rattanhead.core.Payload;
import org.rattanhead.core.problem.Problem;
import org.rattanhead.core.problem.ProblemKind;
import org.rattanhead.core.request.RequestId;
import org.rattanhead.decision.edge.CallerDisconnected;
import org.rattanhead.decision.edge.EdgeEvent;
import org.rattanhead.http.AnswerWriter;
import org.rattanhead.http.FrontEndObserver;
import org.rattanhead.ring.EventSink;
import org.rattanhead.ring.Urgency;

/**
 * The callers that await a response.
 */
public final class CallerRegistry implements AnswerWriter {

	private static final long RETRY_AFTER_MILLIS = 1_000;

	static final Problem SHUTTING_DOWN = Problem.notRun(ProblemKind.SHUTTING_DOWN, "The daemon is shutting down.",
			RETRY_AFTER_MILLIS);

	private final ConcurrentMap<RequestId, CallerStream> streams = new ConcurrentHashMap<>();

	private final OpenExchanges exchanges = new OpenExchanges();

	private final EventSink<EdgeEvent> edge;

	private final FrontEndObserver observer;

	/**
	 * Creates a registry.
	 * @param edge receives disconnects of callers
	 * @param observer receives the latency of each response
	 */
	public CallerRegistry(EventSink<EdgeEvent> edge, FrontEndObserver observer) {
		this.edge = edge;
		this.observer = observer;
	}

	void register(RequestId id, HttpServerExchange exchange, boolean streamed) {
		Runnable ended = this.exchanges.openResponse(exchange);
		this.streams.put(id, new CallerStream(exchange, streamed, this.observer, () -> {
			ended.run();
			callerDisconnected(id);
		}, this.exchanges.turns(exchange)));
	}

	@Override
	public void start(RequestId request, String upstream, int status, String contentType) {
		find(request).ifPresent((stream) -> stream.start(request, upstream, status, contentType));
	}

	@Override
	public void write(RequestId request, Payload bytes) {
		find(request).ifPresent((stream) -> stream.write(bytes));
	}

	@Override
	public void end(RequestId request) {
		remove(request).ifPresent(CallerStream::end);
	}

	@Override
	public void refuse(RequestId request, Problem problem) {
		remove(request).ifPresent((stream) -> stream.refuse(request, problem));
	}

	@Override
	public void abort(RequestId request, Problem problem) {
		remove(request).ifPresent((stream) -> stream.abort(problem));
	}

	/**
	 * Refuses whatever is read from now on, and waits until all responses are written.
	 * @param timeoutMillis the longest wait, in milliseconds
	 * @return whether all are written
	 * @throws InterruptedException if the wait is interrupted
	 */
	public boolean finish(long timeoutMillis) throws InterruptedException {
		return this.exchanges.finish(SHUTTING_DOWN, timeoutMillis);
	}

	/**
	 * Returns what the exchanges of this front end share.
	 * @return the exchanges
	 */
	public OpenExchanges exchanges() {
		return this.exchanges;
	}

	private void callerDisconnected(RequestId request) {
		if (remove(request).isPresent()) {
			this.edge.offer(new CallerDisconnected(request), Urgency.CONTROL);
		}
	}

	private Optional<CallerStream> find(RequestId request) {
		return Optional.ofNullable(this.streams.get(request));
	}

	private Optional<CallerStream> remove(RequestId request) {
		return Optional.ofNullable(this.streams.remove(request));
	}

}
