package org.rattanhead.daemon;

import org.rattanhead.core.claim.ClaimVerdict;

/**
 * Send a verdict.
 *
 * @param host the entry daemon
 * @param verdict the verdict
 */
record VerdictToPeer(String host, ClaimVerdict verdict) implements PeerTask {
}
