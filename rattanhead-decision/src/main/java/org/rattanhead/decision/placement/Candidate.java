package org.rattanhead.decision.placement;

import org.rattanhead.core.catalogue.UpstreamEntry;

/**
 * An upstream that a request could go to, as this daemon sees it.
 *
 * @param upstream the upstream
 * @param holder the daemon that holds its lease
 * @param usable whether it takes new work
 * @param outstandingTokens prompt tokens sent to it and not yet answered
 * @param outstandingRequests requests sent to it and not yet answered
 */
public record Candidate(UpstreamEntry upstream, String holder, boolean usable, long outstandingTokens,
		int outstandingRequests) {
}
