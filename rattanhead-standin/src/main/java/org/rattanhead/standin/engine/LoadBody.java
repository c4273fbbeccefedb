package org.rattanhead.standin.engine;

/**
 * A load report.
 *
 * @param bootId id of the incarnation, which changes with each restart
 * @param cold whether it is in cold start
 * @param running number of requests in the batch
 * @param queued number of requests waiting for a slot or memory
 * @param usedTokens tokens held in its KV cache
 */
public record LoadBody(String bootId, boolean cold, int running, int queued, long usedTokens) {
}
