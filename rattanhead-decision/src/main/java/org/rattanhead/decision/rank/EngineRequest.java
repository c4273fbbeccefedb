package org.rattanhead.decision.rank;

/**
 * What the urgency of a request at an engine depends on.
 *
 * @param rank the rank of the request
 * @param quick whether one engine reads the prompt in a short time
 * @param deferred whether the request misses its target latency anyway
 * @param yielding whether the workspace of the request uses more than its share of a
 * service that is short of capacity
 * @param waitedShare the time since the arrival of the request, as a share of the time to
 * its deadline
 */
public record EngineRequest(RequestRank rank, boolean quick, boolean deferred, boolean yielding, double waitedShare) {
}
