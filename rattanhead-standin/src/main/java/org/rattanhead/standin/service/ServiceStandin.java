package org.rattanhead.standin.service;

import java.net.InetSocketAddress;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.atomic.AtomicBoolean;

import io.undertow.server.HttpServerExchange;

import org.rattanhead.core.Payload;
import org.rattanhead.standin.http.Replies;
import org.rattanhead.standin.http.Reply;
import org.rattanhead.standin.http.StandinServer;

/**
 * A stand-in for a plain service. It counts the runs of each idempotency key and does not
 * deduplicate them.
 */
public final class ServiceStandin implements AutoCloseable {

	private static final String LOSE_NEXT_ANSWER = "/faults/lose-next-answer";

	private static final String RUNS = "/runs";

	private static final String KEY_HEADER = "Idempotency-Key";

	private final ConcurrentMap<String, Integer> runs = new ConcurrentHashMap<>();

	private final AtomicBoolean loseNextAnswer = new AtomicBoolean();

	private final StandinServer server;

	/**
	 * Starts the service.
	 * @param address where it listens; port 0 for any free port
	 */
	public ServiceStandin(InetSocketAddress address) {
		this.server = new StandinServer(address,
				(exchange) -> Replies.receiveBody(exchange, (body) -> handle(exchange, body)));
	}

	/**
	 * Returns where the service listens.
	 * @return the address
	 */
	public InetSocketAddress address() {
		return this.server.address();
	}

	/**
	 * Returns the number of runs of a key.
	 * @param key the idempotency key
	 * @return the number of runs
	 */
	public int runs(String key) {
		return this.runs.getOrDefault(key, 0);
	}

	/**
	 * Makes the next run take effect but close the connection without an answer.
	 */
	public void loseNextAnswer() {
		this.loseNextAnswer.set(true);
	}

	private void handle(HttpServerExchange exchange, Payload body) {
		if (LOSE_NEXT_ANSWER.equals(exchange.getRequestPath())) {
			loseNextAnswer();
			Replies.send(exchange, Reply.ok(LOSE_NEXT_ANSWER));
			return;
		}
		if (RUNS.equals(exchange.getRequestPath())) {
			Replies.send(exchange, Reply.ok(this.runs));
			return;
		}
		String key = exchange.getRequestHeaders().getFirst(KEY_HEADER);
		int run = (key != null) ? this.runs.merge(key, 1, Integer::sum) : 0;
		if (this.loseNextAnswer.compareAndSet(true, false)) {
			Replies.close(exchange);
			return;
		}
		Replies.send(exchange,
				Reply.ok(new ServiceAnswer(exchange.getRequestPath(), (key != null) ? key : "", run, body.text())));
	}

	@Override
	public void close() {
		this.server.close();
	}

}
