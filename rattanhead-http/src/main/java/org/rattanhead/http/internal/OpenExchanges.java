package org.rattanhead.http.internal;

import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.undertow.server.HttpServerExchange;
import org.xnio.XnioIoThread;

import org.rattanhead.core.Payload;
import org.rattanhead.core.TurnQueue;
import org.rattanhead.core.TurnQueues;
import org.rattanhead.core.problem.Problem;

/**
 * What the exchanges of one front end share: turns on the I/O threads, the budget of
 * request bodies, those that have not arrived whole, and the count of responses that are
 * not yet written whole.
 */
public final class OpenExchanges {

	private final TurnQueues<XnioIoThread> turns = new TurnQueues<>(
			(thread, round) -> thread.executeAfter(round, TurnQueue.ROUND_INTERVAL_MILLIS, TimeUnit.MILLISECONDS));

	private final BodyBudget bodies = BodyBudget.ofHeap();

	private final BodiesInProgress bodiesInProgress = new BodiesInProgress();

	private final OpenResponses responses = new OpenResponses();

	private volatile boolean refusing;

	/**
	 * Reads the body of a request within the budget, which it uses until the exchange
	 * ends.
	 * @param exchange the exchange
	 * @param limits the limits of the body
	 * @param onBody receives the body
	 * @param onProblem receives the problem that prevents it
	 */
	void readBody(HttpServerExchange exchange, RequestBodyLimits limits, Consumer<Payload> onBody,
			Consumer<Problem> onProblem) {
		BodyReservation reservation = BodyReservation.open(this.bodies, exchange);
		Runnable ended = openResponse(exchange);
		ConnectionCloseListener.of(exchange.getConnection()).onClose(() -> {
			this.bodiesInProgress.remove(exchange);
			ended.run();
		});
		RequestBodyReader reader = new RequestBodyReader(exchange, limits, turns(exchange), reservation, (body) -> {
			this.bodiesInProgress.remove(exchange);
			onBody.accept(body);
		}, (problem) -> {
			this.bodiesInProgress.remove(exchange);
			onProblem.accept(problem);
		});
		this.bodiesInProgress.add(exchange, reader);
		reader.start();
	}

	/**
	 * Counts an exchange as open until its response is written. It must be counted before
	 * it is checked whether it is refused, since {@link #finish} does both in the reverse
	 * order.
	 * @param exchange the exchange
	 * @return false if the request must be refused before this thread reads on
	 */
	boolean open(HttpServerExchange exchange) {
		openResponse(exchange);
		return !this.refusing;
	}

	/**
	 * Refuses whatever is read from now on, and the requests whose body has not arrived
	 * whole, and waits until all responses are written. Afterwards no request is open or
	 * will be.
	 * @param problem the reason
	 * @param timeoutMillis the longest wait, in milliseconds
	 * @return whether all are written
	 * @throws InterruptedException if the wait is interrupted
	 */
	public boolean finish(Problem problem, long timeoutMillis) throws InterruptedException {
		this.refusing = true;
		this.bodiesInProgress.giveUpAll(problem);
		return this.responses.awaitNone(timeoutMillis);
	}

	/**
	 * Counts an exchange until its response is written, from the first call on.
	 * @param exchange the exchange
	 * @return must be run when the connection closes
	 */
	Runnable openResponse(HttpServerExchange exchange) {
		return this.responses.open(exchange);
	}

	TurnQueue turns(HttpServerExchange exchange) {
		return this.turns.of(exchange.getIoThread());
	}

}
