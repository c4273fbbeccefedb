package org.rattanhead.decision.claim;

import org.rattanhead.core.claim.ClaimOrder;

/**
 * A claim order arrived from an entry daemon.
 *
 * @param fromHost the entry daemon
 * @param order the order
 */
public record ClaimOrderReceived(String fromHost, ClaimOrder order) implements ClaimEvent {
}
