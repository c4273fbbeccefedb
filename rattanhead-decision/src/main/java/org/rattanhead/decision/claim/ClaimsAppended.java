package org.rattanhead.decision.claim;

/**
 * An append completed or failed.
 *
 * @param confirmed whether the log confirmed it; otherwise it may or may not have taken
 * effect
 */
public record ClaimsAppended(boolean confirmed) implements ClaimEvent {
}
