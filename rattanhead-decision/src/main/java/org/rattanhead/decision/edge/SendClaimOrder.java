package org.rattanhead.decision.edge;

import org.rattanhead.core.claim.ClaimOrder;

/**
 * Sends an order to a writer of claims.
 *
 * @param toHost the writer
 * @param order the order
 */
public record SendClaimOrder(String toHost, ClaimOrder order) implements EdgeCommand {
}
