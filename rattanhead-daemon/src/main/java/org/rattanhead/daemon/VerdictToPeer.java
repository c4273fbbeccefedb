package org.rattanhead.daemon;

import org.rattanhead.core.claim.ClaimVerdict;

/**
 * Sends a claim verdict to the entry daemon that requested it.
 *
 * @param host the host of the entry daemon
 * @param verdict the outcome of the claim
 */
record VerdictToPeer(String host, ClaimVerdict verdict) implements PeerTask {
}
