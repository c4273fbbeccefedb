package org.rattanhead.decision.claim;

import java.util.List;

/**
 * Records were read.
 *
 * @param fromOffset the offset that the read started from
 * @param firstOffset the oldest offset that the log still keeps
 * @param nextOffset the offset to read on from
 * @param records the records, in order
 */
public record ClaimsRead(long fromOffset, long firstOffset, long nextOffset,
		List<PlacedRecord> records) implements ClaimEvent {
}
