package org.rattanhead.standin.engine;

/**
 * What an engine can do.
 *
 * @param name the name of the upstream
 * @param model the model it serves
 * @param prefillTokensPerSecond prompt tokens processed in a second, over all requests
 * @param decodeTokensPerSecond answer tokens generated in a second, for each request
 * @param memoryTokens tokens its KV cache holds
 * @param slots requests it batches
 * @param coldStartSlots requests it bears in cold start
 * @param coldStartMillis how long a cold start takes, in milliseconds
 * @param loadLagMillis how much load reports lag, in milliseconds
 * @param checksFencing whether it refuses orders with an old fencing number
 */
public record EngineProfile(String name, String model, double prefillTokensPerSecond, double decodeTokensPerSecond,
		int memoryTokens, int slots, int coldStartSlots, long coldStartMillis, long loadLagMillis,
		boolean checksFencing) {
}
