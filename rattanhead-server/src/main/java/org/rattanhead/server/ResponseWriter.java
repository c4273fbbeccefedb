package org.rattanhead.server;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.IntConsumer;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.StatusCodes;
import org.xnio.IoUtils;
import org.xnio.channels.StreamSinkChannel;

import org.rattanhead.core.Payload;

/**
 * Writes a response without blocking, on the I/O thread of its connection. Closes the
 * connection of a client that reads too slowly, when more than 64 MiB are pending.
 */
public final class ResponseWriter {

	private static final int MAX_PENDING_BYTES = 64 * 1024 * 1024;

	/** Small parts that wait share buffers of this size. */
	private static final int SHARED_BUFFER_BYTES = 8 * 1024;

	private final HttpServerExchange exchange;

	private final Runnable onDisconnect;

	private final IntConsumer onWritten;

	private final Deque<ByteBuffer> pending = new ArrayDeque<>();

	private StreamSinkChannel channel;

	private long pendingBytes;

	private ResponseEnd end = ResponseEnd.OPEN;

	private boolean closed;

	/**
	 * Creates the writer of one response.
	 * @param exchange the exchange
	 * @param onDisconnect runs each time this writer closes the connection: after a write
	 * error, when too many bytes are pending, or after {@link #abort()}, and after
	 * {@link #fail()}
	 */
	public ResponseWriter(HttpServerExchange exchange, Runnable onDisconnect) {
		this(exchange, onDisconnect, (bytes) -> {
		});
	}

	/**
	 * Creates the writer of one response.
	 * @param exchange the exchange
	 * @param onDisconnect runs each time this writer closes the connection
	 * @param onWritten receives the number of bytes of each successful write to the
	 * connection
	 */
	public ResponseWriter(HttpServerExchange exchange, Runnable onDisconnect, IntConsumer onWritten) {
		this.exchange = exchange;
		this.onDisconnect = onDisconnect;
		this.onWritten = onWritten;
	}

	/**
	 * Writes a part of the body, or queues it if the connection accepts no more bytes.
	 * @param bytes the bytes
	 */
	public void write(Payload bytes) {
		if (this.closed) {
			return;
		}
		this.pendingBytes += bytes.length();
		if (this.pendingBytes > MAX_PENDING_BYTES) {
			close();
			return;
		}
		if (bytes.length() > 0) {
			append(bytes);
		}
		flushPending();
	}

	private void append(Payload bytes) {
		ByteBuffer last = this.pending.peekLast();
		if (last != null && last.capacity() - last.limit() >= bytes.length()) {
			int start = last.limit();
			last.limit(start + bytes.length()).put(start, bytes.bytes());
		}
		else if (last != null && bytes.length() < SHARED_BUFFER_BYTES) {
			this.pending.add(ByteBuffer.allocate(SHARED_BUFFER_BYTES).put(bytes.bytes()).flip());
		}
		else {
			this.pending.add(ByteBuffer.wrap(bytes.bytes()));
		}
	}

	/**
	 * Ends the response cleanly after all pending bytes are written.
	 */
	public void end() {
		this.end = ResponseEnd.COMPLETE;
		flushPending();
	}

	/**
	 * Closes the connection without a clean end after all pending bytes are written.
	 */
	public void abort() {
		this.end = ResponseEnd.ABORTED;
		flushPending();
	}

	/**
	 * Ends a response that cannot be written: with status 500 if it has not started, by
	 * closing the connection otherwise.
	 */
	public void fail() {
		if (this.closed) {
			return;
		}
		if (this.exchange.isResponseStarted()) {
			close();
			return;
		}
		try {
			endWithStatus500();
		}
		catch (RuntimeException | Error ex) {
			close();
			throw ex;
		}
		this.onDisconnect.run();
	}

	private void endWithStatus500() {
		this.pending.clear();
		this.pendingBytes = 0;
		this.exchange.getResponseHeaders().clear();
		this.exchange.getResponseHeaders().put(Headers.CONTENT_LENGTH, 0);
		this.exchange.setStatusCode(StatusCodes.INTERNAL_SERVER_ERROR);
		this.exchange.setPersistent(false);
		end();
	}

	private void flushPending() {
		if (this.closed) {
			return;
		}
		try {
			if (this.channel == null) {
				ResponseFraming.apply(this.exchange);
				this.channel = this.exchange.getResponseChannel();
				this.channel.getWriteSetter().set((ready) -> flushPending());
			}
			if (!writePending() || !this.channel.flush()) {
				this.channel.resumeWrites();
				return;
			}
			this.channel.suspendWrites();
			completeOrClose();
		}
		catch (IOException ex) {
			close();
		}
	}

	private boolean writePending() throws IOException {
		while (!this.pending.isEmpty()) {
			ByteBuffer next = this.pending.peek();
			int written = this.channel.write(next);
			this.pendingBytes -= written;
			if (written > 0) {
				this.onWritten.accept(written);
			}
			if (next.hasRemaining()) {
				return false;
			}
			this.pending.poll();
		}
		return true;
	}

	private void completeOrClose() throws IOException {
		if (this.end == ResponseEnd.ABORTED) {
			ResponseFraming.resetUnlessFramed(this.exchange);
			close();
		}
		else if (this.end == ResponseEnd.COMPLETE) {
			this.closed = true;
			this.channel.shutdownWrites();
			this.exchange.endExchange();
		}
	}

	private void close() {
		this.closed = true;
		this.pending.clear();
		IoUtils.safeClose(this.exchange.getConnection());
		this.onDisconnect.run();
	}

}
