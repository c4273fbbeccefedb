package org.rattanhead.client.internal;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;

import io.undertow.connector.ByteBufferPool;
import io.undertow.connector.PooledByteBuffer;
import org.xnio.channels.StreamSourceChannel;

import org.rattanhead.client.CallFailure;
import org.rattanhead.client.ReplyObserver;
import org.rattanhead.core.Payload;
import org.rattanhead.core.TurnQueue;

/**
 * Reads the body of a reply from a channel, on the I/O thread of the channel. Whatever
 * the size of the server's chunks, the observer receives as much as one buffer holds. A
 * reply that arrives without pause gives up the thread after a bounded turn. Reads are
 * suspended while the window of the observer is used up; if the observer rejects bytes,
 * the same bytes are offered again at a fixed interval.
 */
final class BodyReader {

	private static final long REDELIVERY_INTERVAL_MILLIS = 2;

	private final StreamSourceChannel channel;

	private final ByteBufferPool buffers;

	private final ReplyObserver observer;

	private final Exchange exchange;

	private final TurnQueue turns;

	private long bodyBytes;

	private long windowBytes;

	private boolean awaitsGrant;

	private boolean awaitsRedelivery;

	private int turnReads;

	private boolean reading;

	private boolean endReached;

	private IOException failure;

	BodyReader(StreamSourceChannel channel, ByteBufferPool buffers, ReplyObserver observer, Exchange exchange,
			TurnQueue turns) {
		this.channel = channel;
		this.buffers = buffers;
		this.observer = observer;
		this.exchange = exchange;
		this.turns = turns;
		this.windowBytes = observer.windowBytes();
	}

	void read() {
		this.exchange.confine(this::readWithinWindow);
	}

	private void readWithinWindow() {
		if (this.awaitsRedelivery) {
			return;
		}
		if (this.windowBytes <= 0) {
			this.awaitsGrant = true;
			this.channel.suspendReads();
			return;
		}
		try (PooledByteBuffer pooled = this.buffers.allocate()) {
			readTurn(pooled.getBuffer());
		}
		catch (IOException ex) {
			this.exchange.fail(CallFailure.BROKEN, "the connection broke during the reply: " + ex.getMessage());
		}
	}

	/**
	 * Enlarges the window, and reads on if it was used up.
	 * @param bytes the number of bytes
	 */
	void grant(long bytes) {
		this.windowBytes += bytes;
		if (this.awaitsGrant && this.windowBytes > 0) {
			this.awaitsGrant = false;
			read();
		}
	}

	/**
	 * Fails the reply after the bytes of the read in progress are delivered.
	 * @param cause the cause
	 * @return false if no read is in progress; the reply does not fail then
	 */
	boolean failAfterDelivery(IOException cause) {
		if (this.reading && this.failure == null) {
			this.failure = cause;
		}
		return this.reading;
	}

	private void readTurn(ByteBuffer buffer) throws IOException {
		this.turnReads = 0;
		int turnBytes = 0;
		while (!this.exchange.hasEnded()) {
			buffer.clear();
			boolean drained = fill(buffer);
			if (buffer.flip().hasRemaining() && !deliver(buffer)) {
				return;
			}
			turnBytes += buffer.limit();
			if (this.failure != null) {
				throw this.failure;
			}
			if (this.endReached) {
				this.exchange.complete();
				return;
			}
			if (drained) {
				readWhenReady();
				return;
			}
			if (this.turnReads >= TurnQueue.MAX_TURN_READS || turnBytes >= TurnQueue.MAX_TURN_BYTES
					|| this.windowBytes <= 0) {
				this.channel.suspendReads();
				this.turns.add(this::read);
				return;
			}
		}
	}

	/**
	 * Reads until the buffer is full, the channel has no more bytes, or the turn is over.
	 * The end and a failure are kept until the bytes before them are delivered.
	 * @param buffer the buffer, which is empty
	 * @return whether the channel has no more bytes for now
	 */
	private boolean fill(ByteBuffer buffer) {
		int count = 1;
		this.reading = true;
		try {
			while (count > 0 && buffer.hasRemaining() && this.turnReads < TurnQueue.MAX_TURN_READS && !this.endReached
					&& this.failure == null) {
				this.turnReads++;
				count = this.channel.read(buffer);
				this.endReached = count < 0;
			}
		}
		catch (IOException ex) {
			this.failure = ex;
		}
		finally {
			this.reading = false;
		}
		return count == 0;
	}

	/**
	 * Delivers the bytes of a buffer.
	 * @param buffer the buffer, ready to be read
	 * @return false if the reply is too large, or the bytes are to be delivered later
	 */
	private boolean deliver(ByteBuffer buffer) {
		this.bodyBytes += buffer.remaining();
		this.exchange.bodyReceived(this.bodyBytes);
		this.windowBytes -= buffer.remaining();
		if (this.bodyBytes > this.observer.maxBodyBytes()) {
			this.exchange.fail(CallFailure.BROKEN,
					"the reply exceeds " + this.observer.maxBodyBytes() + " bytes; check the server");
			return false;
		}
		Payload part = copy(buffer);
		if (!this.observer.onBytes(part)) {
			redeliverLater(part);
			return false;
		}
		return true;
	}

	private void redeliver(Payload part) {
		this.awaitsRedelivery = false;
		if (this.exchange.hasEnded()) {
			return;
		}
		if (this.observer.onBytes(part)) {
			read();
		}
		else {
			redeliverLater(part);
		}
	}

	private void readWhenReady() {
		this.channel.getReadSetter().set((ready) -> read());
		this.channel.resumeReads();
	}

	private void redeliverLater(Payload part) {
		this.awaitsRedelivery = true;
		this.channel.suspendReads();
		try {
			this.channel.getIoThread()
				.executeAfter(() -> this.exchange.confine(() -> redeliver(part)), REDELIVERY_INTERVAL_MILLIS,
						TimeUnit.MILLISECONDS);
		}
		catch (RejectedExecutionException ex) {
			this.exchange.abort();
		}
	}

	private static Payload copy(ByteBuffer buffer) {
		byte[] bytes = new byte[buffer.remaining()];
		buffer.get(bytes);
		return new Payload(bytes);
	}

}
