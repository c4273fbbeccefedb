package org.rattanhead.platform.keyed;

import java.util.List;
import java.util.Map;

import org.rattanhead.core.keyed.KeyedRecord;
import org.rattanhead.core.keyed.KeyedStream;
import org.rattanhead.core.keyed.StreamPosition;
import org.rattanhead.core.keyed.StreamUpdate;

/**
 * Functions for updates that daemons send each other.
 */
final class StreamUpdates {

	private StreamUpdates() {
	}

	/**
	 * Creates an update.
	 * @param stream the stream
	 * @param from the position of the first record
	 * @param next the position after the last record
	 * @param relevant the records between them that other daemons need
	 * @param before the newest records at the first position, by key
	 * @return the update, without records if they do not fit
	 */
	static StreamUpdate create(KeyedStream stream, StreamPosition from, StreamPosition next, List<KeyedRecord> relevant,
			Map<String, KeyedRecord> before) {
		if (NewestRecords.fitMessage(relevant)) {
			return new StreamUpdate(stream, from, next, relevant);
		}
		LargeRecords large = LargeRecords.select(relevant);
		return large.differences(before)
			.filter((differences) -> NewestRecords.fitMessage(large.others()))
			.map((differences) -> new StreamUpdate(stream, from, next, large.others(), differences))
			.orElseGet(() -> new StreamUpdate(stream, next, next, List.of()));
	}

	/**
	 * Returns whether a page has a record for each offset. Records that cannot be decoded
	 * are left out.
	 * @param page the page
	 * @param from the position at which the page starts
	 * @return true if it has
	 */
	static boolean isComplete(KeyedPage page, StreamPosition from) {
		return page.records().size() == page.next().offset() - from.offset();
	}

	/**
	 * Leaves out the records of a page that were received in updates during the read.
	 * Otherwise relevance would be judged by a state that already has them, and an update
	 * would lack records that its receiver does not have.
	 * @param page the page
	 * @param from the position at which the page starts
	 * @param needed the position of the next record that the daemon needs
	 * @return the rest; the page itself if its records cannot be distinguished by offset
	 */
	static KeyedPage skip(KeyedPage page, StreamPosition from, StreamPosition needed) {
		List<KeyedRecord> records = page.records();
		if (!isComplete(page, from)) {
			return page;
		}
		return new KeyedPage(records.subList((int) (needed.offset() - from.offset()), records.size()), page.next(),
				page.more(), page.trimmed());
	}

	/**
	 * Selects the records of an update that a daemon does not have. If the sender left
	 * records out, all are applied: they are in order, so that repeated ones lead to the
	 * same state.
	 * @param update an update that continues at the next offset or before it
	 * @param needed the position of the next record that the daemon needs
	 * @return the records
	 */
	static List<KeyedRecord> selectNew(StreamUpdate update, StreamPosition needed) {
		List<KeyedRecord> records = update.records();
		if (update.next().equals(needed)) {
			return List.of();
		}
		boolean complete = records.size() == update.next().offset() - update.from().offset();
		return complete ? records.subList((int) (needed.offset() - update.from().offset()), records.size()) : records;
	}

}
