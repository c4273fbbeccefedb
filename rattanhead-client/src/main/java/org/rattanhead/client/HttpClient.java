package org.rattanhead.client;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import org.xnio.IoFuture;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.Xnio;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

import org.rattanhead.client.internal.CollectingObserver;
import org.rattanhead.client.internal.ConnectionPool;
import org.rattanhead.client.internal.Exchange;
import org.rattanhead.client.internal.ServerConnection;
import org.rattanhead.core.TurnQueue;
import org.rattanhead.core.TurnQueues;

/**
 * Makes HTTP calls. Connections are reused by later calls; a call that fails closes its
 * connection.
 */
public final class HttpClient implements AutoCloseable {

	private static final long CLOSE_TIMEOUT_MILLIS = 2_000;

	private static final int BUFFER_BYTES = 16 * 1024;

	private static final long MAX_BODY_BYTES = 8L * 1024 * 1024;

	private final XnioWorker worker;

	private final ByteBufferPool buffers = new DefaultByteBufferPool(true, BUFFER_BYTES);

	private final ConnectionPool pool = new ConnectionPool();

	private final TurnQueues<XnioIoThread> turns = new TurnQueues<>(
			(thread, round) -> thread.executeAfter(round, TurnQueue.ROUND_INTERVAL_MILLIS, TimeUnit.MILLISECONDS));

	private final Set<Exchange> openExchanges = ConcurrentHashMap.newKeySet();

	private final AtomicBoolean closed = new AtomicBoolean();

	/**
	 * Starts the I/O threads.
	 * @param name the prefix of the thread names
	 * @param ioThreads the number of threads
	 */
	public HttpClient(String name, int ioThreads) {
		try {
			this.worker = Xnio.getInstance()
				.createWorker(OptionMap.builder()
					.set(Options.WORKER_NAME, name)
					.set(Options.WORKER_IO_THREADS, ioThreads)
					.set(Options.WORKER_TASK_CORE_THREADS, 1)
					.set(Options.WORKER_TASK_MAX_THREADS, 1)
					.set(Options.THREAD_DAEMON, true)
					.getMap());
		}
		catch (IOException ex) {
			throw new IllegalStateException("No I/O threads could be started; raise the limit of open files", ex);
		}
	}

	/**
	 * Starts a call, on an idle connection if there is one, without a separate connect
	 * timeout.
	 * @param call the call
	 * @param observer receives the reply on an I/O thread, or the failure on the thread
	 * that aborts the call or closes this client
	 * @return the call in progress
	 */
	public OngoingCall start(HttpCall call, ReplyObserver observer) {
		return start(call, observer, ConnectPolicy.ANY);
	}

	/**
	 * Starts a call with a connect policy.
	 * @param call the call
	 * @param observer receives the reply on an I/O thread, or the failure on the thread
	 * that aborts the call or closes this client
	 * @param policy how the call gets its connection
	 * @return the call in progress
	 */
	public OngoingCall start(HttpCall call, ReplyObserver observer, ConnectPolicy policy) {
		Exchange exchange = new Exchange(call, observer, this.pool, this.buffers, this.openExchanges::remove);
		this.openExchanges.add(exchange);
		try {
			exchange.armTimeouts(this.worker.getIoThread(), policy.connectMillis());
			Optional<ServerConnection> pooled = policy.fresh() ? Optional.empty() : this.pool.acquire(call.address());
			pooled.ifPresentOrElse(exchange::run, () -> connect(call.address(), exchange));
		}
		catch (RuntimeException | Error ex) {
			// The connection may be open already, and its I/O thread may have sent.
			String detail = "the call could not be started: " + ex;
			exchange.connectFailed(detail);
			exchange.fail(CallFailure.BROKEN, detail);
		}
		return exchange;
	}

	/**
	 * Makes a call and collects the reply.
	 * @param call the call
	 * @return a future of the reply; completes exceptionally with
	 * {@link CallFailedException}
	 */
	public CompletableFuture<HttpReply> call(HttpCall call) {
		return call(call, MAX_BODY_BYTES);
	}

	/**
	 * Makes a call and collects the reply.
	 * @param call the call
	 * @param maxBodyBytes the size of the body above which the call fails
	 * @return a future of the reply; completes exceptionally with
	 * {@link CallFailedException}
	 */
	public CompletableFuture<HttpReply> call(HttpCall call, long maxBodyBytes) {
		CompletableFuture<HttpReply> future = new CompletableFuture<>();
		start(call, new CollectingObserver(future, maxBodyBytes));
		return future;
	}

	/**
	 * Returns the number of calls in progress.
	 * @return the number of calls
	 */
	public int openCalls() {
		return this.openExchanges.size();
	}

	private void awaitTermination() {
		try {
			this.worker.awaitTermination(CLOSE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private void connect(InetSocketAddress address, Exchange exchange) {
		IoFuture<StreamConnection> opening = this.worker.openStreamConnection(address,
				(channel) -> exchange
					.run(ServerConnection.create(channel, this.buffers, this.turns.of(channel.getIoThread()))),
				OptionMap.EMPTY);
		opening.addNotifier(new IoFuture.HandlingNotifier<StreamConnection, Void>() {
			@Override
			public void handleFailed(IOException ex, Void attachment) {
				exchange.connectFailed("no connection to " + address + ": " + ex.getMessage());
			}
		}, null);
	}

	@Override
	public void close() {
		if (this.closed.compareAndSet(false, true)) {
			this.openExchanges.forEach(Exchange::abort);
			this.pool.close();
			this.worker.shutdownNow();
			awaitTermination();
			this.buffers.close();
		}
	}

}
