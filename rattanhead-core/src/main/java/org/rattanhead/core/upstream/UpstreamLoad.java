package org.rattanhead.core.upstream;

/**
 * What an upstream reports about itself. Reports lag.
 *
 * @param bootId changes whenever the upstream restarts
 * @param cold whether it is in cold start
 * @param running requests it runs
 * @param queued requests that wait inside it
 * @param usedTokens tokens held in its KV cache
 */
public record UpstreamLoad(String bootId, boolean cold, int running, int queued, long usedTokens) {
}
