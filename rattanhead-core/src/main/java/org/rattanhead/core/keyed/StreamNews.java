package org.rattanhead.core.keyed;

import java.util.List;

/**
 * What a daemon found when it read a stream to its end.
 *
 * @param stream the stream
 * @param fromOffset where the records begin; equal to the next offset if none are given,
 * because there were none or they are too large to pass on
 * @param nextOffset the end of the stream
 * @param records the records from one offset to the other, in order
 */
public record StreamNews(KeyedStream stream, long fromOffset, long nextOffset, List<KeyedRecord> records) {
}
