package org.rattanhead.decision.claim;

import org.rattanhead.core.claim.ClaimOrder;

/**
 * An entry daemon sent an order.
 *
 * @param fromHost the entry daemon
 * @param order the order
 */
public record ClaimOrderReceived(String fromHost, ClaimOrder order) implements ClaimEvent {
}
