package org.rattanhead.decision.crash;

/**
 * A suspect was blocked, or its block ended.
 *
 * @param key the fingerprint of the request, or the id of the part
 * @param blocked whether it is blocked now
 * @param crashes the crashes that led to it
 * @param seenHere whether one of them broke an attempt of this daemon
 * @param reason the reason, for the log
 */
public record SuspectChange(long key, boolean blocked, int crashes, boolean seenHere, String reason) {
}
