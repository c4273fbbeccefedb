package org.rattanhead.platform.keyed;

import org.rattanhead.core.keyed.KeyedRecord;

/**
 * Bounds the memory that the records of one stream take.
 */
final class RecordBudget {

	/**
	 * A daemon follows three streams and holds a record up to three times while it reads
	 * a stream anew.
	 */
	private static final int HEAP_DIVISOR = 32;

	/** The objects of one record, without the bytes of its key and its value. */
	private static final int OVERHEAD_BYTES = 256;

	private final long maxBytes;

	private long usedBytes;

	RecordBudget(long maxBytes) {
		this.maxBytes = maxBytes;
	}

	static RecordBudget ofHeap() {
		return new RecordBudget(Runtime.getRuntime().maxMemory() / HEAP_DIVISOR);
	}

	static long size(KeyedRecord record) {
		return OVERHEAD_BYTES + record.key().length() + record.value().map((value) -> value.length()).orElse(0);
	}

	/**
	 * Reserves or releases bytes.
	 * @param bytes the number of bytes, negative to release them
	 * @return false if they are not free; nothing is reserved then
	 */
	boolean reserve(long bytes) {
		if (bytes > 0 && this.usedBytes + bytes > this.maxBytes) {
			return false;
		}
		this.usedBytes += bytes;
		return true;
	}

	void clear() {
		this.usedBytes = 0;
	}

	@Override
	public String toString() {
		return this.maxBytes + " bytes";
	}

}
