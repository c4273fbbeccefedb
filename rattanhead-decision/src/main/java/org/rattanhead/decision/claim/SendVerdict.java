package org.rattanhead.decision.claim;

import org.rattanhead.core.claim.ClaimVerdict;

/**
 * Sends a verdict to an entry daemon.
 *
 * @param toHost the entry daemon
 * @param verdict the verdict
 */
public record SendVerdict(String toHost, ClaimVerdict verdict) implements ClaimCommand {
}
