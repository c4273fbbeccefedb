package org.rattanhead.decision.forward;

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

	/**
	 * Returns whether the caller takes its reply so slowly that the instance is not read.
	 * @return true if it is not read
	 */
	boolean blocked() {
		return this.unwrittenBytes > MAX_UNWRITTEN_BYTES;
	}

	/**
	 * Takes the grant that is due.
	 * @return the number of bytes to grant, 0 if no grant is due
	 */
	long takeGrant() {
		if (blocked() || this.ungrantedBytes < MIN_GRANT_BYTES) {
			return 0;
		}
		long granted = this.ungrantedBytes;
		this.ungrantedBytes = 0;
		return granted;
	}

}
