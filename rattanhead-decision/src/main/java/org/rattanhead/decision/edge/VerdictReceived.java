package org.rattanhead.decision.edge;

import org.rattanhead.core.claim.ClaimVerdict;

/**
 * The writer of claims tells whether a request may run.
 *
 * @param fromHost the writer
 * @param verdict the verdict
 */
public record VerdictReceived(String fromHost, ClaimVerdict verdict) implements EdgeEvent {
}
