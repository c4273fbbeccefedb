package org.rattanhead.decision.claim;

/**
 * Reads records from the log.
 *
 * @param fromOffset the offset to start from
 * @param caughtUp whether all earlier records were read, so that the log service may
 * delay its reply until there are new records
 */
public record ReadClaims(long fromOffset, boolean caughtUp) implements ClaimCommand {
}
