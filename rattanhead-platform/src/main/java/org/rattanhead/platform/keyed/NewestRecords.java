package org.rattanhead.platform.keyed;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.rattanhead.core.keyed.KeyedRecord;

/**
 * The newest record of each key of a stream, for daemons that request them.
 */
final class NewestRecords {

	/**
	 * The maximum size of keys and values in a message to other daemons; it fits into a
	 * datagram even if it does not compress.
	 */
	private static final int MAX_MESSAGE_BYTES = 32 * 1024;

	private final Map<String, KeyedRecord> records = new LinkedHashMap<>();

	void replace(List<KeyedRecord> newest) {
		this.records.clear();
		apply(newest);
	}

	void apply(List<KeyedRecord> changes) {
		for (KeyedRecord record : changes) {
			if (record.value().isPresent()) {
				this.records.put(record.key(), record);
			}
			else {
				this.records.remove(record.key());
			}
		}
	}

	List<KeyedRecord> all() {
		return List.copyOf(this.records.values());
	}

	/**
	 * Returns whether records fit into one message to other daemons.
	 * @param records the records
	 * @return true if they fit
	 */
	static boolean fitMessage(List<KeyedRecord> records) {
		int bytes = 0;
		for (KeyedRecord record : records) {
			bytes += record.key().length() + record.value().map((value) -> value.length()).orElse(0);
		}
		return bytes <= MAX_MESSAGE_BYTES;
	}

}
