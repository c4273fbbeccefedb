package org.rattanhead.platform.keyed;

import java.util.HashMap;
import java.util.Map;

import org.rattanhead.core.Payload;
import org.rattanhead.core.keyed.KeyedRecord;
import org.rattanhead.core.keyed.StreamUpdate;

/**
 * The links on which the answers of a store arrive, one after the other.
 */
final class SimulatedLinks {

	private static final int BASE64_OVERHEAD_DIVISOR = 3;

	/** The rate at which the answers to one host arrive, 0 for no limit. */
	long linkBytesPerMilli;

	/** The rate at which the answers to all hosts are read. */
	long totalBytesPerMilli;

	/** When the answers to each host that are under way have arrived. */
	private final Map<String, Long> freeMillis = new HashMap<>();

	private long totalFreeMillis;

	private long answeredBytes;

	static int length(KeyedRecord record) {
		return record.key().length() + record.value().map(Payload::length).orElse(0);
	}

	/**
	 * Returns the size of the differences of an update.
	 * @param update the update
	 * @return the number of bytes
	 */
	static long bytes(StreamUpdate update) {
		return update.differences().stream().mapToLong((difference) -> difference.difference().length()).sum();
	}

	/**
	 * Queues an answer after those to the same host, and after those to all hosts.
	 * @param host the host
	 * @param newest whether the answer has newest records, which are in base64
	 * @param answer the answer
	 * @param nowMillis the time, in milliseconds
	 * @return the time until it has arrived, in milliseconds
	 */
	long transferMillis(String host, boolean newest, Object answer, long nowMillis) {
		long bytes = (answer instanceof KeyedPage page)
				? page.records().stream().mapToLong(SimulatedLinks::length).sum() : 0;
		bytes += newest ? bytes / BASE64_OVERHEAD_DIVISOR : 0;
		this.answeredBytes += bytes;
		if (bytes == 0 || this.linkBytesPerMilli == 0) {
			return 0;
		}
		this.totalFreeMillis = Math.max(nowMillis, this.totalFreeMillis) + bytes / this.totalBytesPerMilli;
		long linkMillis = Math.max(nowMillis, this.freeMillis.getOrDefault(host, 0L)) + bytes / this.linkBytesPerMilli;
		this.freeMillis.put(host, Math.max(linkMillis, this.totalFreeMillis));
		return this.freeMillis.get(host) - nowMillis;
	}

	/**
	 * Returns the bytes of all answers since the previous call of this method.
	 * @return the number of bytes
	 */
	long takeAnsweredBytes() {
		long taken = this.answeredBytes;
		this.answeredBytes = 0;
		return taken;
	}

}
