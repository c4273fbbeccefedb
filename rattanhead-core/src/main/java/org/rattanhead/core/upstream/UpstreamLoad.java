package org.rattanhead.core.upstream;

/**
 * The load that an upstream reports about itself. Reports lag behind its actual state.
 *
 * @param bootId changes whenever the upstream restarts
 * @param cold whether it is in cold start
 * @param running the number of requests that it runs
 * @param queued the number of requests in its own queue
 * @param usedTokens the tokens held in its KV cache
 */
public record UpstreamLoad(String bootId, boolean cold, int running, int queued, long usedTokens) {
}
