package org.rattanhead.decision.claim;

/**
 * This daemon became, or ceased to be, the one that writes the claims of a shard.
 *
 * @param writer whether it is now
 */
public record ClaimWriterChanged(boolean writer) implements ClaimEvent {
}
