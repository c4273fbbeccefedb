package org.rattanhead.decision.claim;

import org.rattanhead.core.claim.AcquireClaim;

/**
 * A claim order that has no verdict yet.
 *
 * @param fromHost the entry daemon that sent the order
 * @param order the claim order
 * @param expiryNanos when a verdict is sent even if the claim is still held or not
 * settled
 */
record PendingClaim(String fromHost, AcquireClaim order, long expiryNanos) {
}
