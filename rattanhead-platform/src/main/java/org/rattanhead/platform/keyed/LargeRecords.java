package org.rattanhead.platform.keyed;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.rattanhead.core.keyed.KeyedRecord;
import org.rattanhead.core.keyed.RecordDifference;

/**
 * The records of a page that are sent as differences, since their values are large. Of
 * several records of a key only the newest counts.
 *
 * @param large the large records
 * @param others the other records
 */
record LargeRecords(List<KeyedRecord> large, List<KeyedRecord> others) {

	/** The minimum size of a value that is sent as a difference. */
	private static final int MIN_LARGE_BYTES = 4 * 1024;

	/**
	 * The maximum size of the differences of an update. Sent to a hundred daemons, they
	 * take a third of a second on the slowest links.
	 */
	private static final int MAX_DIFFERENCE_BYTES = 4 * 1024;

	/** A value that grew by more is not compared, since the difference would not fit. */
	private static final int MAX_GROWTH_BYTES = 16 * 1024;

	/**
	 * Selects the large records among the newest record of each key.
	 * @param records the records, in order
	 * @return the records, divided by size
	 */
	static LargeRecords select(List<KeyedRecord> records) {
		Map<String, KeyedRecord> newest = new LinkedHashMap<>();
		for (KeyedRecord record : records) {
			newest.remove(record.key());
			newest.put(record.key(), record);
		}
		List<KeyedRecord> large = new ArrayList<>(newest.values());
		large.removeIf((record) -> length(record) < MIN_LARGE_BYTES);
		newest.values().removeAll(large);
		return new LargeRecords(large, List.copyOf(newest.values()));
	}

	/**
	 * Encodes the large records as differences.
	 * @param before the newest records before, by key
	 * @return the differences, empty if a record has no earlier value or they are too
	 * large
	 */
	Optional<List<RecordDifference>> differences(Map<String, KeyedRecord> before) {
		List<RecordDifference> differences = new ArrayList<>();
		int bytes = 0;
		for (KeyedRecord record : this.large) {
			Optional<RecordDifference> difference = Optional.ofNullable(before.get(record.key()))
				.filter((base) -> length(record) - length(base) <= MAX_GROWTH_BYTES)
				.map((base) -> DifferenceCodec.encode(base, record));
			bytes += difference.map((encoded) -> encoded.difference().length()).orElse(MAX_DIFFERENCE_BYTES + 1);
			if (bytes > MAX_DIFFERENCE_BYTES) {
				return Optional.empty();
			}
			difference.ifPresent(differences::add);
		}
		return Optional.of(differences);
	}

	private static int length(KeyedRecord record) {
		return record.value().map((value) -> value.length()).orElse(0);
	}

}
