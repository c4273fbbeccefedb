package org.rattanhead.standin.log;

import java.util.List;

/**
 * The body of the answer to a read.
 *
 * @param firstOffset the oldest offset kept
 * @param nextOffset the offset to read on from
 * @param records the records
 */
record PageBody(long firstOffset, long nextOffset, List<RecordBody> records) {
}
