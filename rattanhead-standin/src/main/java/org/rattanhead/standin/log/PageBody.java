package org.rattanhead.standin.log;

import java.util.List;

/**
 * The body of the answer to a read.
 *
 * @param firstOffset the oldest retained offset
 * @param nextOffset the offset at which the next read continues
 * @param records the records
 */
record PageBody(long firstOffset, long nextOffset, List<RecordBody> records) {
}
