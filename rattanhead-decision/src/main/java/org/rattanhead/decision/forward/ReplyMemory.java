package org.rattanhead.decision.forward;

/**
 * The bytes of the answers to all requests that were received and are not yet written to
 * their callers. While they exceed a bound, answers are relayed after less buffering and
 * shorter events count as oversized, so that the memory of the process holds many
 * unfinished answers at once.
 */
final class ReplyMemory {

	/**
	 * What an answer may hold while the memory is scarce, in bytes: one part as it is
	 * read, so that short answers are still buffered until they are complete.
	 */
	private static final int SCARCE_BYTES = 16 * 1024;

	private final long maxBytes;

	private long usedBytes;

	ReplyMemory(long maxBytes) {
		this.maxBytes = maxBytes;
	}

	void add(long bytes) {
		this.usedBytes += bytes;
	}

	/**
	 * Returns how much of an answer may be kept until it is complete.
	 * @param usualBytes the bound while there is enough memory
	 * @return the bound in force, in bytes
	 */
	int limit(int usualBytes) {
		return (this.usedBytes > this.maxBytes) ? Math.min(usualBytes, SCARCE_BYTES) : usualBytes;
	}

}
