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
 */
public record StreamUpdate(KeyedStream stream, StreamPosition from, StreamPosition next, List<KeyedRecord> records) {
}
