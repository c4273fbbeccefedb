package org.rattanhead.daemon;

import org.rattanhead.core.claim.ClaimOrder;

/**
 * Send an order about a claim.
 *
 * @param host the writer of the claim
 * @param order the order
 */
record ClaimOrderToPeer(String host, ClaimOrder order) implements PeerTask {
}
