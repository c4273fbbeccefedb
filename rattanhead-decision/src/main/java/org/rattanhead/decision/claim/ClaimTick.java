package org.rattanhead.decision.claim;

/**
 * Time has passed.
 */
public record ClaimTick() implements ClaimEvent {
}
