package org.rattanhead.daemon;

import org.rattanhead.core.claim.ClaimOrder;

/**
 * An order about a claim to be sent.
 *
 * @param host the writer of the claim
 * @param order the order
 */
record ClaimOrderToPeer(String host, ClaimOrder order) implements PeerTask {
}
