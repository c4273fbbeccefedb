package org.rattanhead.standin.engine;

/**
 * A load report.
 *
 * @param bootId changes whenever the engine restarts
 * @param cold whether it is in cold start
 * @param running requests it runs
 * @param queued requests that wait inside it
 * @param usedTokens tokens held in its KV cache
 */
public record LoadBody(String bootId, boolean cold, int running, int queued, long usedTokens) {
}
