package org.rattanhead.standin.engine;

/**
 * Capacity and timing of an engine.
 *
 * @param name the name of the upstream
 * @param model the model served
 * @param prefillTokensPerSecond prompt tokens processed per second, over all requests
 * @param decodeTokensPerSecond answer tokens generated per second, for each request
 * @param memoryTokens capacity of the KV cache, in tokens
 * @param slots maximum number of requests in a batch
 * @param coldStartSlots maximum number of requests in cold start; one more crashes the
 * engine
 * @param coldStartMillis duration of a cold start, in milliseconds
 * @param loadLagMillis delay of load reports, in milliseconds
 * @param checksFencing whether it rejects requests with a stale fencing number
 */
public record EngineProfile(String name, String model, double prefillTokensPerSecond, double decodeTokensPerSecond,
		int memoryTokens, int slots, int coldStartSlots, long coldStartMillis, long loadLagMillis,
		boolean checksFencing) {
}
