package org.rattanhead.platform;

import java.util.List;

/**
 * Consecutive records of a stream.
 *
 * @param firstOffset the oldest offset still kept
 * @param nextOffset the offset that the next read should start from
 * @param records the records, oldest first
 */
public record LogPage(long firstOffset, long nextOffset, List<LogRecord> records) {

	/**
	 * Copies the records.
	 * @param firstOffset the oldest offset still kept
	 * @param nextOffset the next offset
	 * @param records the records
	 */
	public LogPage {
		records = List.copyOf(records);
	}

}
