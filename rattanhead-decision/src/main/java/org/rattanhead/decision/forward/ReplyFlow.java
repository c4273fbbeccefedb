package org.rattanhead.decision.forward;

import java.util.List;

import org.rattanhead.core.request.AttemptId;

/**
 * Flow control of the replies to one request. The instance is read on only while the
 * caller takes what was read before, so that a slow caller or an endless answer occupies
 * a bounded amount of memory.
 */
final class ReplyFlow {

	/** Unwritten bytes above which the attempt receives no more of its answer. */
	private static final long MAX_UNWRITTEN_BYTES = GrantBytes.WINDOW_BYTES / 2;

	/** Smaller grants wait, so that short answers cause none. */
	private static final long MIN_GRANT_BYTES = GrantBytes.WINDOW_BYTES / 4;

	private long ungrantedBytes;

	private long unwrittenBytes;

	/**
	 * Starts with the full window of a new attempt.
	 */
	void attemptBegan() {
		this.ungrantedBytes = 0;
	}

	/**
	 * Counts bytes received from the instance.
	 * @param bytes the number of bytes
	 */
	void received(long bytes) {
		this.ungrantedBytes += bytes;
	}

	/**
	 * Counts bytes passed on towards the caller.
	 * @param bytes the number of bytes
	 */
	void sent(long bytes) {
		this.unwrittenBytes += bytes;
	}

	/**
	 * Counts bytes written to the connection of the caller.
	 * @param bytes the number of bytes
	 */
	void written(long bytes) {
		this.unwrittenBytes -= bytes;
	}

	long unwrittenBytes() {
		return this.unwrittenBytes;
	}

	/**
	 * Returns whether the caller takes its reply so slowly that the instance is not read.
	 * @return true if it is not read
	 */
	boolean blocked() {
		return this.unwrittenBytes > MAX_UNWRITTEN_BYTES;
	}

	/**
	 * Grants what is due to the current attempt.
	 * @param attempt the attempt
	 * @param commands receives the grant, if one is due
	 */
	void grant(AttemptId attempt, List<ForwardCommand> commands) {
		if (!blocked() && this.ungrantedBytes >= MIN_GRANT_BYTES) {
			commands.add(new GrantBytes(attempt, this.ungrantedBytes));
			this.ungrantedBytes = 0;
		}
	}

}
