package org.rattanhead.client.internal;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.ClosedChannelException;
import java.nio.channels.FileChannel;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import io.undertow.connector.ByteBufferPool;
import io.undertow.connector.PooledByteBuffer;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.conduits.AbstractStreamSourceConduit;
import org.xnio.conduits.ConduitReadableByteChannel;
import org.xnio.conduits.Conduits;
import org.xnio.conduits.StreamSourceConduit;

import org.rattanhead.client.HttpHead;

/**
 * Passes the replies on a connection through a {@link ReplyReader} before the HTTP
 * library reads them. Reads fail after the bytes before a fault were read. Confined to
 * the I/O thread of the connection.
 */
public final class ReplyConduit extends AbstractStreamSourceConduit<StreamSourceConduit> {

	private static final ByteBuffer NOTHING = ByteBuffer.allocate(0);

	/**
	 * The time for which the end of a reply that ends with its connection is withheld
	 * while the request is still being written. A server that closes a connection with
	 * unread bytes resets it right after the end, or in place of it.
	 */
	private static final long RESET_WAIT_MILLIS = 200;

	private final ReplyReader reader = new ReplyReader();

	private final ByteBufferPool buffers;

	/** Bytes from the server that were read with the end of a reply, or did not fit. */
	private ByteBuffer unread = NOTHING;

	private IOException failure;

	private boolean requestWritten;

	private boolean closedByServer;

	private boolean ended;

	ReplyConduit(StreamSourceConduit next, ByteBufferPool buffers) {
		super(next);
		this.buffers = buffers;
	}

	/**
	 * Expects the reply to a request.
	 * @param method the method of the request
	 */
	void begin(String method) {
		this.reader.begin(method);
		this.requestWritten = false;
	}

	/**
	 * Returns the head of the reply, once.
	 * @return the head, empty until it is complete
	 */
	Optional<HttpHead> takeHead() {
		return this.reader.takeHead();
	}

	/**
	 * Returns whether the connection can carry another call after a complete reply.
	 * @return true if the server keeps it open and has sent nothing after the reply
	 */
	boolean reusable() {
		return this.reader.isComplete() && this.reader.persistent() && !this.unread.hasRemaining() && !this.ended;
	}

	@Override
	public int read(ByteBuffer target) throws IOException {
		if (this.failure != null) {
			throw this.failure;
		}
		int start = target.position();
		try (PooledByteBuffer pooled = this.buffers.allocate()) {
			this.reader.transfer(this.unread, target);
			boolean received = true;
			if (target.position() == start) {
				requireExpected(this.unread.remaining());
			}
			while (received && target.position() == start && target.hasRemaining()) {
				received = receive(pooled.getBuffer(), target);
			}
		}
		catch (IOException ex) {
			this.failure = ex;
			if (target.position() == start) {
				throw ex;
			}
		}
		int count = target.position() - start;
		return (count == 0 && this.ended) ? -1 : count;
	}

	/**
	 * Receives bytes from the server and passes them on.
	 * @param source an empty buffer
	 * @param target receives the bytes of the reply
	 * @return whether any bytes were received
	 * @throws IOException if the connection broke, or what was received is no reply
	 */
	private boolean receive(ByteBuffer source, ByteBuffer target) throws IOException {
		int count = this.closedByServer ? -1
				: readNext(source.clear().limit(Math.min(source.capacity(), target.remaining())));
		requireExpected(count);
		if (count < 0) {
			receiveEnd();
		}
		this.reader.transfer(source.flip(), target);
		this.unread = source.hasRemaining() ? ByteBuffer.allocate(source.remaining()).put(source).flip() : NOTHING;
		return count > 0;
	}

	private int readNext(ByteBuffer buffer) throws IOException {
		// A connection that was closed in this process reads as if the server had closed
		// it.
		boolean closedHere = isReadShutdown();
		int count = super.read(buffer);
		if (count < 0 && closedHere) {
			throw new ClosedChannelException();
		}
		return count;
	}

	private void receiveEnd() throws MalformedReplyException {
		if (this.requestWritten || !this.reader.endsWithConnection()) {
			this.ended = true;
			this.reader.end();
		}
		else if (!this.closedByServer) {
			super.suspendReads();
			getReadThread().executeAfter(this::stopWaiting, RESET_WAIT_MILLIS, TimeUnit.MILLISECONDS);
		}
		this.closedByServer = true;
	}

	/**
	 * Records that the request was written to the connection.
	 * @return whether the end of the reply was withheld and can be read now
	 */
	boolean requestWritten() {
		this.requestWritten = true;
		return this.closedByServer && !this.ended;
	}

	private void stopWaiting() {
		this.requestWritten = true;
		wakeupReads();
	}

	private void requireExpected(int count) throws MalformedReplyException {
		if (count > 0 && this.reader.isComplete()) {
			throw new MalformedReplyException("the server sent bytes that belong to no call");
		}
	}

	@Override
	public long read(ByteBuffer[] targets, int offset, int length) throws IOException {
		for (int index = offset; index < offset + length; index++) {
			if (targets[index].hasRemaining()) {
				return read(targets[index]);
			}
		}
		return 0;
	}

	@Override
	public long transferTo(long position, long count, FileChannel target) throws IOException {
		return target.transferFrom(new ConduitReadableByteChannel(this), position, count);
	}

	@Override
	public long transferTo(long count, ByteBuffer throughBuffer, StreamSinkChannel target) throws IOException {
		return Conduits.transfer(this, count, throughBuffer, target);
	}

	@Override
	public void resumeReads() {
		// Bytes or a failure kept here cause no event of the connection.
		if (this.unread.hasRemaining() || this.reader.hasRewritten() || this.failure != null) {
			wakeupReads();
		}
		else if (!this.closedByServer || this.ended) {
			super.resumeReads();
		}
	}

}
