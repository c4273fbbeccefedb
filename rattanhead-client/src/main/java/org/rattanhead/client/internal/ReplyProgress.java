package org.rattanhead.client.internal;

import java.util.concurrent.TimeUnit;

import org.rattanhead.client.HttpCall;

/**
 * How much of the body of a reply has arrived, and when. Used by the I/O thread of the
 * connection and by the thread that runs the timeouts.
 */
final class ReplyProgress {

	/** A reply of which no bytes arrive for this long is not given more time. */
	private static final long STALL_MILLIS = 1_000;

	private final long slowReplyMillis;

	private final boolean allowsSlowReply;

	private volatile long startNanos;

	private volatile long lastBytesNanos;

	private volatile long bodyBytes;

	/**
	 * Creates the progress of a reply.
	 * @param call the call
	 */
	ReplyProgress(HttpCall call) {
		this.slowReplyMillis = call.slowReplyMillis();
		this.allowsSlowReply = call.slowReplyMillis() > call.timeoutMillis();
	}

	void started(long nowNanos) {
		this.startNanos = nowNanos;
	}

	/**
	 * Records that a part of the body was read. The clock is read only for calls whose
	 * timeout depends on it, since a stream has many parts.
	 * @param bytes the number of bytes read so far
	 */
	void received(long bytes) {
		if (this.allowsSlowReply) {
			this.lastBytesNanos = System.nanoTime();
		}
		this.bodyBytes = bytes;
	}

	/**
	 * Returns how much more time a reply gets whose body keeps arriving.
	 * @param nowNanos the time on the monotonic clock
	 * @return milliseconds, not positive if the call has to end
	 */
	long extraMillis(long nowNanos) {
		if (!this.allowsSlowReply || this.bodyBytes == 0) {
			return 0;
		}
		long untilStalled = STALL_MILLIS - TimeUnit.NANOSECONDS.toMillis(nowNanos - this.lastBytesNanos);
		return Math.min(untilStalled, this.slowReplyMillis - elapsedMillis(nowNanos));
	}

	/**
	 * Describes a reply that is given up.
	 * @param nowNanos the time on the monotonic clock
	 * @return the description
	 */
	String describe(long nowNanos) {
		return "no complete reply within " + elapsedMillis(nowNanos) + " ms, " + this.bodyBytes
				+ " bytes of its body arrived";
	}

	private long elapsedMillis(long nowNanos) {
		return TimeUnit.NANOSECONDS.toMillis(nowNanos - this.startNanos);
	}

}
