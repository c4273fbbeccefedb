package org.rattanhead.core.upstream;

/**
 * The state of an upstream that its lease holder publishes to the other daemons.
 *
 * @param upstream the upstream
 * @param accepting whether it accepts new work
 * @param cold whether it is in cold start
 * @param running the number of requests sent to it
 * @param queued the number of requests queued at the lease holder
 * @param outstandingTokens the prompt tokens and maximum output tokens of running and
 * queued requests
 * @param freeTokens the unreserved tokens of its memory
 */
public record UpstreamDigest(String upstream, boolean accepting, boolean cold, int running, int queued,
		long outstandingTokens, long freeTokens) {
}
