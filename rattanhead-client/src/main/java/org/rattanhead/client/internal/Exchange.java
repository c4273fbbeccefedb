package org.rattanhead.client.internal;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.client.ClientResponse;
import io.undertow.connector.ByteBufferPool;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import org.xnio.IoUtils;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;

import org.rattanhead.client.CallFailure;
import org.rattanhead.client.HttpCall;
import org.rattanhead.client.HttpField;
import org.rattanhead.client.HttpHead;
import org.rattanhead.client.ReplyObserver;

/**
 * One call on one connection. Everything after the connect runs on the I/O thread of the
 * connection.
 */
public final class Exchange {

	private final HttpCall call;

	private final ReplyObserver observer;

	private final ConnectionPool pool;

	private final ByteBufferPool buffers;

	private final Consumer<Exchange> onEnd;

	private final AtomicBoolean ended = new AtomicBoolean();

	private volatile ClientConnection connection;

	private boolean reusable;

	private XnioExecutor.Key timeout;

	/**
	 * Prepares a call.
	 * @param call the call
	 * @param observer receives the reply
	 * @param pool takes the connection afterwards
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
	}

	/**
	 * Starts the timeout.
	 * @param thread the thread that watches it
	 */
	public void armTimeout(XnioIoThread thread) {
		this.timeout = thread.executeAfter(this::expire, Math.max(1, this.call.timeoutMillis()), TimeUnit.MILLISECONDS);
	}

	/**
	 * Sends the request.
	 * @param newConnection the connection to use
	 */
	public void run(ClientConnection newConnection) {
		this.connection = newConnection;
		if (this.ended.get()) {
			this.pool.give(this.call.address(), newConnection);
			return;
		}
		newConnection.getIoThread().execute(() -> newConnection.sendRequest(request(), new ClientCallback<>() {
			@Override
			public void completed(ClientExchange exchange) {
				sent(exchange);
			}

			@Override
			public void failed(IOException ex) {
				fail(CallFailure.BROKEN, "the request could not be sent: " + ex.getMessage());
			}
		}));
	}

	/**
	 * Closes the connection.
	 */
	public void abort() {
		fail(CallFailure.ABORTED, "aborted");
	}

	/**
	 * Ends the call with a failure, unless it has ended.
	 * @param failure how it failed
	 * @param detail what happened
	 */
	public void fail(CallFailure failure, String detail) {
		if (end()) {
			ClientConnection current = this.connection;
			if (current != null) {
				close(current);
			}
			this.observer.onFailure(failure, detail);
		}
	}

	void finish() {
		if (end()) {
			if (this.reusable) {
				this.pool.give(this.call.address(), this.connection);
			}
			else {
				close(this.connection);
			}
			this.observer.onEnd();
		}
	}

	boolean over() {
		return this.ended.get();
	}

	private boolean end() {
		if (!this.ended.compareAndSet(false, true)) {
			return false;
		}
		this.timeout.remove();
		this.onEnd.accept(this);
		return true;
	}

	private void expire() {
		CallFailure failure = (this.connection != null) ? CallFailure.TIMED_OUT : CallFailure.NOT_SENT;
		fail(failure, "no answer within " + this.call.timeoutMillis() + " ms");
	}

	private ClientRequest request() {
		ClientRequest request = new ClientRequest().setMethod(new HttpString(this.call.method()))
			.setPath(this.call.path());
		request.getRequestHeaders()
			.put(Headers.HOST, this.call.address().getHostString() + ":" + this.call.address().getPort());
		for (HttpField field : this.call.fields()) {
			request.getRequestHeaders().put(new HttpString(field.name()), field.value());
		}
		if (this.call.body().length() > 0) {
			request.getRequestHeaders().put(Headers.CONTENT_LENGTH, this.call.body().length());
		}
		return request;
	}

	private void sent(ClientExchange exchange) {
		exchange.setResponseListener(new ClientCallback<>() {
			@Override
			public void completed(ClientExchange result) {
				head(result);
			}

			@Override
			public void failed(IOException ex) {
				fail(CallFailure.BROKEN, "the connection broke before the reply: " + ex.getMessage());
			}
		});
		ByteBuffer body = ByteBuffer.wrap(this.call.body().bytes());
		new BodyWriter(exchange.getRequestChannel(), body, this::broken).write();
	}

	private void head(ClientExchange exchange) {
		ClientResponse response = exchange.getResponse();
		if (over()) {
			return;
		}
		HttpHead head = new HttpHead(response.getResponseCode(), fields(response));
		this.reusable = !"close".equalsIgnoreCase(head.field("Connection"));
		this.observer.onHead(head);
		new BodyReader(exchange.getResponseChannel(), this.buffers, this.observer, this).read();
	}

	private void broken(IOException ex) {
		fail(CallFailure.BROKEN, "the connection broke: " + ex.getMessage());
	}

	private static void close(ClientConnection connection) {
		try {
			connection.getIoThread().execute(() -> IoUtils.safeClose(connection));
		}
		catch (RejectedExecutionException ex) {
			IoUtils.safeClose(connection);
		}
	}

	private static List<HttpField> fields(ClientResponse response) {
		List<HttpField> fields = new ArrayList<>();
		for (HeaderValues values : response.getResponseHeaders()) {
			values.forEach((value) -> fields.add(new HttpField(values.getHeaderName().toString(), value)));
		}
		return fields;
	}

}
