package org.rattanhead.platform.keyed;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

import org.rattanhead.core.keyed.KeyedRecord;
import org.rattanhead.core.keyed.KeyedStream;

/**
 * The newest record of each key of a stream, for daemons that request them.
 */
final class NewestRecords {

	/**
	 * The maximum size of keys and values in a message to other daemons; it fits into a
	 * datagram even if it does not compress.
	 */
	private static final int MAX_MESSAGE_BYTES = 32 * 1024;

	private static final Logger LOGGER = LogManager.getLogger(NewestRecords.class);

	private final Map<String, KeyedRecord> records = new LinkedHashMap<>();

	private final KeyedStream stream;

	private final RecordBudget budget;

	private boolean full;

	NewestRecords(KeyedStream stream, RecordBudget budget) {
		this.stream = stream;
		this.budget = budget;
	}

	/**
	 * Replaces all records.
	 * @param newest the new records
	 * @return those that were kept, as with {@link #apply}
	 */
	List<KeyedRecord> replace(List<KeyedRecord> newest) {
		this.records.clear();
		this.budget.clear();
		return apply(newest);
	}

	/**
	 * Applies changes within the budget of the stream. A record that exceeds it is left
	 * out, so that those of other keys are still followed.
	 * @param changes the changes
	 * @return the changes that were applied
	 */
	List<KeyedRecord> apply(List<KeyedRecord> changes) {
		List<KeyedRecord> applied = changes.stream().filter(this::apply).toList();
		boolean leftOut = applied.size() < changes.size();
		if (leftOut && !this.full) {
			LOGGER.warn(
					"platform: the records of stream {} exceed {}, the first that is left out has the key {}; "
							+ "check who writes to its topic",
					this.stream, this.budget, firstLeftOut(changes, applied));
		}
		this.full |= leftOut;
		return applied;
	}

	private boolean apply(KeyedRecord record) {
		KeyedRecord before = this.records.get(record.key());
		long freedBytes = (before != null) ? RecordBudget.size(before) : 0;
		if (record.value().isEmpty()) {
			this.budget.reserve(-freedBytes);
			this.records.remove(record.key());
			return true;
		}
		if (!this.budget.reserve(RecordBudget.size(record) - freedBytes)) {
			return false;
		}
		this.records.put(record.key(), record);
		return true;
	}

	private static String firstLeftOut(List<KeyedRecord> changes, List<KeyedRecord> applied) {
		int index = 0;
		while (index < applied.size() && changes.get(index) == applied.get(index)) {
			index++;
		}
		return changes.get(index).key();
	}

	/**
	 * Returns the newest record of a key.
	 * @param key the key
	 * @return the record, empty if there is none
	 */
	Optional<KeyedRecord> find(String key) {
		return Optional.ofNullable(this.records.get(key));
	}

	/**
	 * Returns the newest records by key.
	 * @return a copy
	 */
	Map<String, KeyedRecord> byKey() {
		return Map.copyOf(this.records);
	}

	/**
	 * Returns what changed since an earlier state, including the keys that were deleted.
	 * @param before the earlier records by key
	 * @return the changes
	 */
	List<KeyedRecord> changedSince(Map<String, KeyedRecord> before) {
		List<KeyedRecord> changed = new ArrayList<>();
		before.keySet()
			.stream()
			.filter((key) -> !this.records.containsKey(key))
			.forEach((key) -> changed.add(new KeyedRecord(key, Optional.empty())));
		this.records.values()
			.stream()
			.filter((record) -> !record.equals(before.get(record.key())))
			.forEach(changed::add);
		return changed;
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
