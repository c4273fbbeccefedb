package org.rattanhead.decision.claim;

import org.rattanhead.core.claim.AcquireClaim;

/**
 * A question without a verdict yet.
 *
 * @param fromHost the entry daemon that asked
 * @param ask the question
 * @param untilNanos when the question is answered with "unavailable"
 */
record OpenAsk(String fromHost, AcquireClaim ask, long untilNanos) {
}
