package org.rattanhead.platform.keyed;

import java.util.List;

import org.rattanhead.core.keyed.KeyedRecord;
import org.rattanhead.core.keyed.KeyedStream;
import org.rattanhead.core.keyed.StreamUpdate;

/**
 * Functions for updates that daemons send each other.
 */
final class StreamUpdates {

	private StreamUpdates() {
	}

	/**
	 * Creates an update from a page.
	 * @param stream the stream
	 * @param fromOffset the offset at which the page starts
	 * @param page the page
	 * @param relevant the records of the page that other daemons need
	 * @return the update, without records if they do not fit
	 */
	static StreamUpdate create(KeyedStream stream, long fromOffset, KeyedPage page, List<KeyedRecord> relevant) {
		boolean fits = NewestRecords.fitMessage(relevant) && isComplete(page, fromOffset);
		return new StreamUpdate(stream, fits ? fromOffset : page.nextOffset(), page.nextOffset(),
				fits ? relevant : List.of());
	}

	/**
	 * Returns whether a page has a record for each offset. Records that cannot be decoded
	 * are left out.
	 * @param page the page
	 * @param fromOffset the offset at which the page starts
	 * @return true if it has
	 */
	static boolean isComplete(KeyedPage page, long fromOffset) {
		return page.records().size() == page.nextOffset() - fromOffset;
	}

	/**
	 * Leaves out the records of a page that were received in updates during the read.
	 * Otherwise relevance would be judged by a state that already has them, and an update
	 * would lack records that its receiver does not have.
	 * @param page the page
	 * @param fromOffset the offset at which the page starts
	 * @param nextOffset the offset of the next record that the daemon needs
	 * @return the rest; the page itself if its records cannot be told apart by offset
	 */
	static KeyedPage skip(KeyedPage page, long fromOffset, long nextOffset) {
		List<KeyedRecord> records = page.records();
		if (!isComplete(page, fromOffset)) {
			return page;
		}
		return new KeyedPage(records.subList((int) (nextOffset - fromOffset), records.size()), page.nextOffset(),
				page.more(), page.trimmed());
	}

	/**
	 * Selects the records of an update that a daemon does not have. If the sender left
	 * records out, all are applied: they are in order, so that repeated ones lead to the
	 * same state.
	 * @param update an update that continues at the next offset or before it
	 * @param nextOffset the offset of the next record that the daemon needs
	 * @return the records
	 */
	static List<KeyedRecord> selectNew(StreamUpdate update, long nextOffset) {
		List<KeyedRecord> records = update.records();
		if (update.nextOffset() == nextOffset) {
			return List.of();
		}
		boolean complete = records.size() == update.nextOffset() - update.fromOffset();
		return complete ? records.subList((int) (nextOffset - update.fromOffset()), records.size()) : records;
	}

}
