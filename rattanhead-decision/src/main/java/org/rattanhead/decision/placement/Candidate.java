package org.rattanhead.decision.placement;

import org.rattanhead.core.catalogue.UpstreamEntry;

/**
 * An upstream that serves the target of a request, with its state as recorded by this
 * daemon.
 *
 * @param upstream the upstream
 * @param holder the daemon that holds its lease
 * @param usable whether it accepts new work
 * @param outstandingTokens prompt tokens sent to it and not yet answered
 * @param outstandingRequests requests sent to it and not yet answered
 */
public record Candidate(UpstreamEntry upstream, String holder, boolean usable, long outstandingTokens,
		int outstandingRequests) {
}
