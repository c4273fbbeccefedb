package org.rattanhead.decision.claim;

/**
 * Read the stream.
 *
 * @param fromOffset the first offset wanted
 * @param caughtUp whether everything before was read, so that the log may wait for more
 */
public record ReadClaims(long fromOffset, boolean caughtUp) implements ClaimCommand {
}
