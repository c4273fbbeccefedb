package org.rattanhead.http.internal;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.RequestTooBigException;
import io.undertow.util.SameThreadExecutor;
import org.xnio.XnioExecutor;
import org.xnio.channels.StreamSourceChannel;

import org.rattanhead.core.Payload;
import org.rattanhead.core.PayloadBuffer;
import org.rattanhead.core.TurnQueue;
import org.rattanhead.core.problem.Problem;
import org.rattanhead.core.problem.ProblemKind;

/**
 * Reads the body of one request on the I/O thread of its connection, in turns, so that a
 * caller that sends without pause leaves the thread to others. Ends with the body, or
 * with the problem that prevents it.
 */
final class RequestBodyReader {

	private static final long RETRY_AFTER_MILLIS = 1_000;

	/**
	 * The reads in a row that yield nothing of the body, after which a body is malformed.
	 * Each takes up to a buffer of a chunk size, an extension or a trailer, which the
	 * HTTP library keeps without a bound.
	 */
	private static final int MAX_FRUITLESS_READS = 32;

	private final HttpServerExchange exchange;

	private final RequestBodyLimits limits;

	private final TurnQueue turns;

	private final BodyReservation reservation;

	private final Consumer<Payload> onBody;

	private final Consumer<Problem> onProblem;

	private final PayloadBuffer body = new PayloadBuffer();

	private final AtomicBoolean ended = new AtomicBoolean();

	private int fruitlessReads;

	private XnioExecutor.Key timeout;

	private StreamSourceChannel channel;

	RequestBodyReader(HttpServerExchange exchange, RequestBodyLimits limits, TurnQueue turns,
			BodyReservation reservation, Consumer<Payload> onBody, Consumer<Problem> onProblem) {
		this.exchange = exchange;
		this.limits = limits;
		this.turns = turns;
		this.reservation = reservation;
		this.onBody = onBody;
		this.onProblem = onProblem;
	}

	/**
	 * Starts reading, after the handler of the exchange has returned.
	 */
	void start() {
		this.exchange.dispatch(SameThreadExecutor.INSTANCE,
				() -> FailedExchange.confine(this.exchange, this::startReading));
	}

	private void startReading() {
		if (this.exchange.isRequestComplete()) {
			complete();
			return;
		}
		this.timeout = this.exchange.getIoThread()
			.executeAfter(
					() -> giveUp(Problem.notRun(ProblemKind.SLOW_REQUEST,
							"The body did not arrive within " + this.limits.timeoutMillis() + " ms.")),
					this.limits.timeoutMillis(), TimeUnit.MILLISECONDS);
		this.channel = this.exchange.getRequestChannel();
		if (!this.reservation.extendTo(Math.min(this.limits.maxBytes(), this.exchange.getRequestContentLength()))) {
			fail(overloaded());
			return;
		}
		readNext();
	}

	/**
	 * Gives up a body that has not arrived whole. Runs on the I/O thread of the
	 * connection.
	 * @param problem the reason
	 */
	void giveUp(Problem problem) {
		FailedExchange.confine(this.exchange, () -> fail(problem));
	}

	private void read() {
		FailedExchange.confine(this.exchange, this::readNext);
	}

	private void readNext() {
		try (PooledByteBuffer pooled = this.exchange.getConnection().getByteBufferPool().allocate()) {
			readTurn(pooled.getBuffer());
		}
		catch (RequestTooBigException ex) {
			fail(this.limits.tooLarge());
		}
		catch (IOException ex) {
			fail(Problem.notRun(ProblemKind.MALFORMED_REQUEST, "The request body is incomplete or malformed."));
		}
	}

	private void readTurn(ByteBuffer buffer) throws IOException {
		int turnBytes = 0;
		int reads = 0;
		while (!this.ended.get()) {
			if (turnBytes >= TurnQueue.MAX_TURN_BYTES || reads >= TurnQueue.MAX_TURN_READS) {
				this.channel.suspendReads();
				this.turns.add(this::read);
				return;
			}
			buffer.clear();
			int count = this.channel.read(buffer);
			if (count < 0) {
				complete();
				return;
			}
			this.fruitlessReads = (count == 0) ? this.fruitlessReads + 1 : 0;
			if (this.fruitlessReads > MAX_FRUITLESS_READS) {
				fail(Problem.notRun(ProblemKind.MALFORMED_REQUEST,
						"A chunk size, a chunk extension or the trailer of the body is too long."));
				return;
			}
			if (count == 0) {
				this.channel.getReadSetter().set((ready) -> read());
				this.channel.resumeReads();
				return;
			}
			reads++;
			turnBytes += count;
			append(buffer.flip());
		}
	}

	private void append(ByteBuffer buffer) {
		long size = (long) this.body.length() + buffer.remaining();
		if (size > this.limits.maxBytes()) {
			fail(this.limits.tooLarge());
		}
		else if (!this.reservation.extendTo(size)) {
			fail(overloaded());
		}
		else {
			byte[] bytes = new byte[buffer.remaining()];
			buffer.get(bytes);
			this.body.append(new Payload(bytes));
		}
	}

	private void complete() {
		if (end()) {
			this.onBody.accept(this.body.take(this.body.length()));
		}
	}

	private void fail(Problem problem) {
		if (end()) {
			this.body.clear();
			this.reservation.close();
			this.onProblem.accept(problem);
		}
	}

	private boolean end() {
		if (!this.ended.compareAndSet(false, true)) {
			return false;
		}
		if (this.timeout != null) {
			this.timeout.remove();
		}
		if (this.channel != null) {
			this.channel.suspendReads();
		}
		return true;
	}

	private static Problem overloaded() {
		return Problem.notRun(ProblemKind.OVERLOADED, "The bodies of other requests use the memory for bodies.",
				RETRY_AFTER_MILLIS);
	}

}
