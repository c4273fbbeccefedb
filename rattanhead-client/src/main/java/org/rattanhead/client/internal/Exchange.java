package org.rattanhead.client.internal;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientExchange;
import io.undertow.connector.ByteBufferPool;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;

import org.rattanhead.client.CallFailure;
import org.rattanhead.client.HttpCall;
import org.rattanhead.client.HttpHead;
import org.rattanhead.client.OngoingCall;
import org.rattanhead.client.ReplyObserver;

/**
 * One call on one connection. Everything after the connect runs on the I/O thread of the
 * connection.
 */
public final class Exchange implements OngoingCall {

	private static final Logger LOGGER = LogManager.getLogger(Exchange.class);

	/** Reuse period if the server sends no Keep-Alive timeout, in milliseconds. */
	private static final long DEFAULT_REUSE_MILLIS = 4_000;

	/**
	 * The fraction of the server's Keep-Alive timeout for which a connection is reused.
	 */
	private static final double KEEP_ALIVE_FRACTION = 0.6;

	private static final Pattern KEEP_ALIVE_SECONDS = Pattern.compile("timeout=(\\d{1,6})");

	private static final long MILLIS_PER_SECOND = 1_000;

	private final HttpCall call;

	private final ReplyObserver observer;

	private final ConnectionPool pool;

	private final ByteBufferPool buffers;

	private final Consumer<Exchange> onEnd;

	private final AtomicReference<ExchangeState> state = new AtomicReference<>(ExchangeState.CONNECTING);

	private volatile ServerConnection connection;

	private long reuseMillis = DEFAULT_REUSE_MILLIS;

	private final ReplyProgress progress;

	private BodyWriter bodyWriter;

	private BodyReader bodyReader;

	private XnioExecutor.Key timeout;

	private XnioExecutor.Key connectTimeout;

	/**
	 * Prepares a call.
	 * @param call the call
	 * @param observer receives the reply
	 * @param pool receives the connection if it can be reused
	 * @param buffers buffers for reading
	 * @param onEnd runs when the call has ended
	 */
	public Exchange(HttpCall call, ReplyObserver observer, ConnectionPool pool, ByteBufferPool buffers,
			Consumer<Exchange> onEnd) {
		this.onEnd = onEnd;
		this.call = call;
		this.observer = observer;
		this.pool = pool;
		this.buffers = buffers;
		this.progress = new ReplyProgress(call);
	}

	/**
	 * Starts the timeouts.
	 * @param thread the I/O thread that runs them
	 * @param connectMillis the connect timeout, in milliseconds; 0 for no limit other
	 * than the timeout of the call
	 */
	public void armTimeouts(XnioIoThread thread, long connectMillis) {
		this.progress.started(System.nanoTime());
		timeOutAfter(thread, Math.max(1, this.call.timeoutMillis()));
		if (connectMillis > 0) {
			this.connectTimeout = thread.executeAfter(
					() -> connectFailed("no connection within " + connectMillis + " ms"), connectMillis,
					TimeUnit.MILLISECONDS);
		}
	}

	/**
	 * Fails the call as not sent, unless it has a connection or has ended.
	 * @param detail what happened
	 */
	public void connectFailed(String detail) {
		if (this.state.compareAndSet(ExchangeState.CONNECTING, ExchangeState.ENDED)) {
			cleanUp();
			this.observer.onFailure(CallFailure.NOT_SENT, detail);
		}
	}

	/**
	 * Sends the request.
	 * @param newConnection the connection to use
	 */
	public void run(ServerConnection newConnection) {
		this.connection = newConnection;
		if (!this.state.compareAndSet(ExchangeState.CONNECTING, ExchangeState.SENT)) {
			this.pool.release(this.call.address(), newConnection, DEFAULT_REUSE_MILLIS);
			return;
		}
		newConnection.client().getIoThread().execute(() -> confine(() -> sendRequest(newConnection)));
	}

	private void sendRequest(ServerConnection newConnection) {
		newConnection.replies().begin(this.call.method());
		newConnection.client().sendRequest(RequestEncoder.encode(this.call), new ClientCallback<>() {
			@Override
			public void completed(ClientExchange exchange) {
				confine(() -> requestStarted(exchange));
			}

			@Override
			public void failed(IOException ex) {
				fail(CallFailure.BROKEN, "the request could not be sent: " + ex.getMessage());
			}
		});
	}

	@Override
	public void abort() {
		fail(CallFailure.ABORTED, "aborted");
	}

	@Override
	public void grant(long bytes) {
		ServerConnection current = this.connection;
		if (current != null && !hasEnded()) {
			current.execute(() -> {
				if (this.bodyReader != null) {
					this.bodyReader.grant(bytes);
				}
			});
		}
	}

	/**
	 * Fails the call and resets its connection, unless the call has ended.
	 * @param failure how it failed
	 * @param detail what happened
	 */
	public void fail(CallFailure failure, String detail) {
		if (tryEnd()) {
			ServerConnection current = this.connection;
			if (current != null) {
				current.reset();
			}
			this.observer.onFailure(failure, detail);
		}
	}

	void complete() {
		if (tryEnd()) {
			if (this.connection.replies().reusable() && this.bodyWriter.isComplete()) {
				this.pool.release(this.call.address(), this.connection, this.reuseMillis);
			}
			else {
				this.connection.close();
			}
			this.observer.onEnd();
		}
	}

	/**
	 * Runs a step of the call. The call fails if the step fails, since the I/O thread
	 * would only log the failure.
	 * @param step the step
	 */
	void confine(Runnable step) {
		try {
			step.run();
		}
		catch (RuntimeException | Error ex) {
			LOGGER.error("client: a call to {} failed in this process", this.call.address(), ex);
			fail(CallFailure.BROKEN, "the call failed in this process: " + ex);
		}
	}

	/**
	 * Records that a part of the body was read.
	 * @param bytes the number of bytes read so far
	 */
	void bodyReceived(long bytes) {
		this.progress.received(bytes);
		this.connection.framing().reset();
	}

	boolean hasEnded() {
		return this.state.get() == ExchangeState.ENDED;
	}

	private boolean tryEnd() {
		if (this.state.getAndSet(ExchangeState.ENDED) == ExchangeState.ENDED) {
			return false;
		}
		cleanUp();
		return true;
	}

	private void cleanUp() {
		// A call may end before its timers are set; they then find it ended.
		if (this.timeout != null) {
			this.timeout.remove();
		}
		if (this.connectTimeout != null) {
			this.connectTimeout.remove();
		}
		this.onEnd.accept(this);
	}

	private void timeOutAfter(XnioIoThread thread, long millis) {
		this.timeout = thread.executeAfter(() -> timeOut(thread), millis, TimeUnit.MILLISECONDS);
	}

	private void timeOut(XnioIoThread thread) {
		long nowNanos = System.nanoTime();
		long extraMillis = this.progress.extraMillis(nowNanos);
		if (extraMillis > 0 && !hasEnded()) {
			timeOutAfter(thread, extraMillis);
			return;
		}
		String detail = this.progress.describe(nowNanos);
		connectFailed(detail);
		fail(CallFailure.TIMED_OUT, detail);
	}

	private void requestStarted(ClientExchange exchange) {
		exchange.setResponseListener(new ClientCallback<>() {
			@Override
			public void completed(ClientExchange result) {
				confine(() -> responseReceived(result));
			}

			@Override
			public void failed(IOException ex) {
				connectionClosed(ex);
			}
		});
		ByteBuffer body = ByteBuffer.wrap(this.call.body().bytes());
		this.bodyWriter = new BodyWriter(exchange.getRequestChannel(), body, this::requestWritten,
				(ex) -> fail(CallFailure.BROKEN, "the connection broke: " + ex.getMessage()), this::confine);
		this.bodyWriter.write();
	}

	private void requestWritten() {
		if (this.connection.replies().requestWritten() && this.bodyReader != null) {
			// The HTTP library closes the connection once both directions have ended.
			this.bodyReader.read();
		}
	}

	private void responseReceived(ClientExchange exchange) {
		this.connection.framing().reset();
		if (hasEnded()) {
			return;
		}
		// The HTTP library knows only the framing of the reply.
		HttpHead head = this.connection.replies().takeHead().orElseThrow();
		Matcher keepAlive = KEEP_ALIVE_SECONDS.matcher(head.field("Keep-Alive"));
		if (keepAlive.find()) {
			this.reuseMillis = Math.round(KEEP_ALIVE_FRACTION * MILLIS_PER_SECOND * Long.parseLong(keepAlive.group(1)));
		}
		this.observer.onHead(head);
		this.bodyReader = new BodyReader(exchange.getResponseChannel(), this.buffers, this.observer, this,
				this.connection.turns());
		this.bodyReader.read();
	}

	private void connectionClosed(IOException failure) {
		// The HTTP library closes the connection inside the read that finds it broken.
		if (this.bodyReader == null || !this.bodyReader.failAfterDelivery(failure)) {
			fail(CallFailure.BROKEN, "the connection broke before the reply: " + failure.getMessage());
		}
	}

}
