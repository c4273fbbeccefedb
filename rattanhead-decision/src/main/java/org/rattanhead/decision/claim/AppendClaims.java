package org.rattanhead.decision.claim;

import java.util.List;

import org.rattanhead.core.claim.ClaimRecord;

/**
 * Append records as one record of the log.
 *
 * @param records the records, in order
 */
public record AppendClaims(List<ClaimRecord> records) implements ClaimCommand {
}
