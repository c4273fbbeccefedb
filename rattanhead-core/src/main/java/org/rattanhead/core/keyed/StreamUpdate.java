package org.rattanhead.core.keyed;

import java.util.List;

/**
 * The records that a daemon obtained when it read a stream to its end.
 *
 * @param stream the stream
 * @param fromOffset the offset of the first record; equal to the next offset if no
 * records are included, because there were none or they are too large to publish
 * @param nextOffset the offset after the last record of the stream
 * @param records the records from one offset to the other, in order
 */
public record StreamUpdate(KeyedStream stream, long fromOffset, long nextOffset, List<KeyedRecord> records) {
}
