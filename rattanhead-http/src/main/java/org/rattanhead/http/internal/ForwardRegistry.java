package org.rattanhead.http.internal;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;

import io.undertow.server.HttpServerExchange;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

import org.rattanhead.core.Payload;
import org.rattanhead.core.problem.Problem;
import org.rattanhead.core.problem.ProblemKind;
import org.rattanhead.core.request.RequestId;
import org.rattanhead.decision.forward.AbortReply;
import org.rattanhead.decision.forward.BeginReply;
import org.rattanhead.decision.forward.ContinueReply;
import org.rattanhead.decision.forward.FinishReply;
import org.rattanhead.decision.forward.ForwardCallerDisconnected;
import org.rattanhead.decision.forward.ForwardEvent;
import org.rattanhead.decision.forward.RefuseRequest;
import org.rattanhead.decision.forward.ReplyWritten;
import org.rattanhead.http.forward.ForwardCodec;
import org.rattanhead.http.forward.ForwardReplyWriter;
import org.rattanhead.http.forward.RefusalReply;
import org.rattanhead.ring.EventSink;
import org.rattanhead.ring.Urgency;

/**
 * The callers whose requests are being forwarded.
 */
public final class ForwardRegistry implements ForwardReplyWriter {

	private static final Logger LOGGER = LogManager.getLogger(ForwardRegistry.class);

	private static final long RETRY_AFTER_MILLIS = 300;

	private static final Problem SHUTTING_DOWN = Problem.notRun(ProblemKind.SHUTTING_DOWN,
			"The daemon is shutting down.", RETRY_AFTER_MILLIS);

	private final ConcurrentMap<RequestId, ForwardStream> streams = new ConcurrentHashMap<>();

	private final OpenExchanges exchanges = new OpenExchanges();

	private final ForwardCodec codec;

	private final EventSink<ForwardEvent> decisions;

	private volatile boolean closing;

	/**
	 * Creates a registry.
	 * @param codec encodes refusals
	 * @param decisions receives disconnects of callers
	 */
	public ForwardRegistry(ForwardCodec codec, EventSink<ForwardEvent> decisions) {
		this.codec = codec;
		this.decisions = decisions;
	}

	void register(RequestId id, HttpServerExchange exchange) {
		Runnable ended = this.exchanges.openResponse(exchange);
		this.streams.put(id, new ForwardStream(exchange, () -> {
			ended.run();
			callerDisconnected(id);
		}, (bytes) -> this.decisions.offer(new ReplyWritten(id, bytes), Urgency.CONTROL),
				this.exchanges.turns(exchange)));
	}

	/**
	 * Opens an exchange, or refuses its request during the end of a shutdown.
	 * @param exchange the exchange
	 * @return whether the request may be forwarded; otherwise it is refused already
	 */
	boolean open(HttpServerExchange exchange) {
		if (this.exchanges.open(exchange)) {
			return true;
		}
		RefusalSender.send(exchange, encode(SHUTTING_DOWN));
		return false;
	}

	@Override
	public void begin(BeginReply command) {
		find(command.request()).ifPresent((stream) -> stream.begin(command, this.closing));
	}

	@Override
	public void write(ContinueReply command) {
		find(command.request()).ifPresent((stream) -> stream.write(command.bytes()));
	}

	@Override
	public void finish(FinishReply command) {
		remove(command.request()).ifPresent(ForwardStream::end);
	}

	@Override
	public void abort(AbortReply command) {
		remove(command.request()).ifPresent(ForwardStream::abort);
	}

	@Override
	public void refuse(RefuseRequest command) {
		remove(command.request()).ifPresent((stream) -> stream.refuse(encode(command.problem()), this.closing));
	}

	private RefusalReply encode(Problem problem) {
		try {
			return this.codec.refuse(problem);
		}
		catch (RuntimeException | Error ex) {
			LOGGER.error("http: a refusal cannot be encoded; the caller gets status {}", ProblemKind.INTERNAL.status(),
					ex);
			return new RefusalReply(ProblemKind.INTERNAL.status(), List.of(), Payload.of(""));
		}
	}

	@Override
	public void closeAfterAnswers() {
		this.closing = true;
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
			this.decisions.offer(new ForwardCallerDisconnected(request), Urgency.COMPLETION);
		}
	}

	private Optional<ForwardStream> find(RequestId request) {
		return Optional.ofNullable(this.streams.get(request));
	}

	private Optional<ForwardStream> remove(RequestId request) {
		return Optional.ofNullable(this.streams.remove(request));
	}

}
