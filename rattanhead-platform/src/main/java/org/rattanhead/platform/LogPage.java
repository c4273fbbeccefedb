package org.rattanhead.platform;

import java.util.List;

/**
 * Consecutive records of a stream.
 *
 * @param firstOffset the oldest retained offset
 * @param nextOffset the offset at which the next read starts
 * @param records the records, oldest first
 */
public record LogPage(long firstOffset, long nextOffset, List<LogRecord> records) {

	/**
	 * Copies the records.
	 * @param firstOffset the oldest retained offset
	 * @param nextOffset the next offset
	 * @param records the records
	 */
	public LogPage {
		records = List.copyOf(records);
	}

}
