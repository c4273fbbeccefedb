package org.rattanhead.decision.claim;

/**
 * A read failed.
 */
public record ClaimsReadFailed() implements ClaimEvent {
}
