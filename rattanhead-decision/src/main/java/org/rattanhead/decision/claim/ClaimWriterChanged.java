package org.rattanhead.decision.claim;

/**
 * This daemon became, or ceased to be, the writer of the claims of a shard.
 *
 * @param writer whether this daemon is now the writer
 */
public record ClaimWriterChanged(boolean writer) implements ClaimEvent {
}
