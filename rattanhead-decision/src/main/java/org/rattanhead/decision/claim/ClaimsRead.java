package org.rattanhead.decision.claim;

import java.util.List;

/**
 * A read of the log completed.
 *
 * @param fromOffset the offset that the read started from
 * @param firstOffset the oldest offset that the log still keeps
 * @param nextOffset the offset at which the next read starts
 * @param records the records, in order
 */
public record ClaimsRead(long fromOffset, long firstOffset, long nextOffset,
		List<LoggedRecord> records) implements ClaimEvent {
}
