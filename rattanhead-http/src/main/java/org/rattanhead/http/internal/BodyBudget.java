package org.rattanhead.http.internal;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Bounds the bytes of all request bodies that a front end keeps, from their first byte to
 * the end of the response. Safe for use by several threads.
 */
public final class BodyBudget {

	/** The share of the heap that request bodies may use. */
	private static final double HEAP_SHARE = 0.25;

	private final long maxBytes;

	private final AtomicLong usedBytes = new AtomicLong();

	/**
	 * Creates a budget.
	 * @param maxBytes the number of bytes
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
	 * Reserves bytes.
	 * @param bytes the number of bytes
	 * @return false if they are not free; nothing is reserved then
	 */
	boolean reserve(long bytes) {
		if (this.usedBytes.addAndGet(bytes) <= this.maxBytes) {
			return true;
		}
		release(bytes);
		return false;
	}

	void release(long bytes) {
		this.usedBytes.addAndGet(-bytes);
	}

}
