package org.rattanhead.http.internal;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Bounds the bytes of all request bodies that a front end keeps, from their first byte to
 * the end of the response. The first bytes of each body have a bound of their own, so
 * that large bodies leave room for small ones. Safe for use by several threads.
 */
public final class BodyBudget {

	/** What of each body counts as its first bytes. */
	private static final long FIRST_BYTES = 64 * 1024;

	/** The share of the heap that either kind of bytes may use. */
	private static final double HEAP_SHARE = 0.25;

	private final long maxBytes;

	private final AtomicLong firstBytes = new AtomicLong();

	private final AtomicLong furtherBytes = new AtomicLong();

	/**
	 * Creates a budget.
	 * @param maxBytes the number of bytes of either kind
	 */
	public BodyBudget(long maxBytes) {
		this.maxBytes = maxBytes;
	}

	/**
	 * Creates the budget of a process, from the size of its heap.
	 * @return the budget
	 */
	public static BodyBudget ofHeap() {
		return new BodyBudget((long) (HEAP_SHARE * Runtime.getRuntime().maxMemory()));
	}

	/**
	 * Extends what is reserved for a body.
	 * @param reservedBytes what is reserved for it
	 * @param bodyBytes the larger size to reserve
	 * @return false if not all of it is free; nothing is reserved then
	 */
	boolean extend(long reservedBytes, long bodyBytes) {
		long first = firstOf(bodyBytes) - firstOf(reservedBytes);
		long further = bodyBytes - reservedBytes - first;
		if (!reserve(this.firstBytes, first)) {
			return false;
		}
		if (!reserve(this.furtherBytes, further)) {
			this.firstBytes.addAndGet(-first);
			return false;
		}
		return true;
	}

	/**
	 * Releases what is reserved for a body.
	 * @param reservedBytes the number of bytes
	 */
	void release(long reservedBytes) {
		this.firstBytes.addAndGet(-firstOf(reservedBytes));
		this.furtherBytes.addAndGet(firstOf(reservedBytes) - reservedBytes);
	}

	private boolean reserve(AtomicLong used, long bytes) {
		if (bytes == 0 || used.addAndGet(bytes) <= this.maxBytes) {
			return true;
		}
		used.addAndGet(-bytes);
		return false;
	}

	private static long firstOf(long bodyBytes) {
		return Math.min(FIRST_BYTES, bodyBytes);
	}

}
