package org.rattanhead.decision.claim;

/**
 * A read of the log failed.
 */
public record ClaimsReadFailed() implements ClaimEvent {
}
