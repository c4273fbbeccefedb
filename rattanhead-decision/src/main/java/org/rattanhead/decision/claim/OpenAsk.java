package org.rattanhead.decision.claim;

import org.rattanhead.core.claim.AskClaim;

/**
 * A claim order that has no verdict yet.
 *
 * @param fromHost the entry daemon that sent the order
 * @param ask the order
 * @param untilNanos when a verdict is sent even if the claim is still held or not settled
 */
record OpenAsk(String fromHost, AskClaim ask, long untilNanos) {
}
