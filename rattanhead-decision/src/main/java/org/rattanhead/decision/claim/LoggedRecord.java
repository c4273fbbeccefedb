package org.rattanhead.decision.claim;

import org.rattanhead.core.claim.ClaimRecord;

/**
 * A claim record and its offset in the log. Records that were appended together share an
 * offset.
 *
 * @param offset the offset
 * @param record the record
 */
public record LoggedRecord(long offset, ClaimRecord record) {
}
