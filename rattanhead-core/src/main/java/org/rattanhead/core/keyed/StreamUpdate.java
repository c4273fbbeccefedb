package org.rattanhead.core.keyed;

import java.util.List;

/**
 * The records that a daemon obtained when it read a stream to its end.
 *
 * @param stream the stream
 * @param from the position of the first record; equal to the next position if no records
 * are included, because there were none or they are too large to publish
 * @param next the position after the last record of the stream, of the same era
 * @param records the records from one position to the other, in order
 * @param differences the newest record of each further key, as the difference to its
 * value at the first position
 */
public record StreamUpdate(KeyedStream stream, StreamPosition from, StreamPosition next, List<KeyedRecord> records,
		List<RecordDifference> differences) {

	/**
	 * Creates an update without differences.
	 * @param stream the stream
	 * @param from the position of the first record
	 * @param next the position after the last record
	 * @param records the records
	 */
	public StreamUpdate(KeyedStream stream, StreamPosition from, StreamPosition next, List<KeyedRecord> records) {
		this(stream, from, next, records, List.of());
	}

}
