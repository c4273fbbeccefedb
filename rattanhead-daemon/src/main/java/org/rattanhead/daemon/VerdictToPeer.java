package org.rattanhead.daemon;

import org.rattanhead.core.claim.ClaimVerdict;

/**
 * A verdict to be sent.
 *
 * @param host the entry daemon
 * @param verdict the verdict
 */
record VerdictToPeer(String host, ClaimVerdict verdict) implements PeerTask {
}
