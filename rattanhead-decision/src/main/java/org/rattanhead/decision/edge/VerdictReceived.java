package org.rattanhead.decision.edge;

import org.rattanhead.core.claim.ClaimVerdict;

/**
 * A writer of claims returned its verdict on a claim order.
 *
 * @param fromHost the writer
 * @param verdict the verdict
 */
public record VerdictReceived(String fromHost, ClaimVerdict verdict) implements EdgeEvent {
}
