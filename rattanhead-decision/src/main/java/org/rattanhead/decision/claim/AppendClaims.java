package org.rattanhead.decision.claim;

import java.util.List;

import org.rattanhead.core.claim.ClaimRecord;

/**
 * Appends records to the log as one log entry.
 *
 * @param records the records, in order
 */
public record AppendClaims(List<ClaimRecord> records) implements ClaimCommand {
}
