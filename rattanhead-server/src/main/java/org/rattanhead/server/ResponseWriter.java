package org.rattanhead.server;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;

import io.undertow.server.HttpServerExchange;
import org.xnio.IoUtils;
import org.xnio.channels.StreamSinkChannel;

import org.rattanhead.core.Payload;

/**
 * Writes a response without blocking, on the I/O thread of its connection. A caller that
 * reads too slowly is cut off.
 */
public final class ResponseWriter {

	private static final int MAX_UNSENT_BYTES = 64 * 1024 * 1024;

	private final HttpServerExchange exchange;

	private final Runnable onGone;

	private final Deque<ByteBuffer> unsent = new ArrayDeque<>();

	private StreamSinkChannel channel;

	private long unsentBytes;

	private ResponseEnd end = ResponseEnd.OPEN;

	private boolean closed;

	/**
	 * Creates the writer of one response.
	 * @param exchange the exchange
	 * @param onGone runs if the connection closes before the response is whole
	 */
	public ResponseWriter(HttpServerExchange exchange, Runnable onGone) {
		this.exchange = exchange;
		this.onGone = onGone;
	}

	/**
	 * Writes a part of the body.
	 * @param bytes the bytes
	 */
	public void write(Payload bytes) {
		this.unsentBytes += bytes.length();
		if (this.unsentBytes > MAX_UNSENT_BYTES) {
			close();
			return;
		}
		if (bytes.length() > 0) {
			this.unsent.add(ByteBuffer.wrap(bytes.bytes()));
		}
		pump();
	}

	/**
	 * Ends the response cleanly once everything is written.
	 */
	public void end() {
		this.end = ResponseEnd.WHOLE;
		pump();
	}

	/**
	 * Closes the connection without a clean end once everything is written.
	 */
	public void breakOff() {
		this.end = ResponseEnd.BROKEN;
		pump();
	}

	private void pump() {
		if (this.closed) {
			return;
		}
		try {
			if (this.channel == null) {
				this.channel = this.exchange.getResponseChannel();
				this.channel.getWriteSetter().set((ready) -> pump());
			}
			if (!writeAll() || !this.channel.flush()) {
				this.channel.resumeWrites();
				return;
			}
			this.channel.suspendWrites();
			finish();
		}
		catch (IOException ex) {
			close();
		}
	}

	private boolean writeAll() throws IOException {
		while (!this.unsent.isEmpty()) {
			ByteBuffer next = this.unsent.peek();
			int written = this.channel.write(next);
			this.unsentBytes -= written;
			if (next.hasRemaining()) {
				return false;
			}
			this.unsent.poll();
		}
		return true;
	}

	private void finish() throws IOException {
		if (this.end == ResponseEnd.BROKEN) {
			close();
		}
		else if (this.end == ResponseEnd.WHOLE) {
			this.closed = true;
			this.channel.shutdownWrites();
			this.exchange.endExchange();
		}
	}

	private void close() {
		this.closed = true;
		this.unsent.clear();
		IoUtils.safeClose(this.exchange.getConnection());
		this.onGone.run();
	}

}
