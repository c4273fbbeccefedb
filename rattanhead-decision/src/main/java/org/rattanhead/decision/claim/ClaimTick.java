package org.rattanhead.decision.claim;

/**
 * A periodic tick that drives timeouts, retries and refreshes.
 */
public record ClaimTick() implements ClaimEvent {
}
