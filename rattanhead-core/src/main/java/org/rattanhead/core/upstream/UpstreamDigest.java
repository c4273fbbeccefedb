package org.rattanhead.core.upstream;

/**
 * What the lease holder of an upstream publishes to the other daemons.
 *
 * @param upstream the upstream
 * @param accepting whether it takes new work
 * @param cold whether it is in cold start
 * @param running requests sent to it
 * @param queued requests that wait at the lease holder
 * @param outstandingTokens prompt tokens not yet answered, running and waiting
 * @param freeTokens tokens of its memory not reserved
 */
public record UpstreamDigest(String upstream, boolean accepting, boolean cold, int running, int queued,
		long outstandingTokens, long freeTokens) {
}
