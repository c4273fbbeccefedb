package org.rattanhead.standin;

/**
 * How fast the engines of a fleet of stand-ins are.
 *
 * @param prefillTokensPerSecond prompt tokens processed in a second, over all requests of
 * an engine
 * @param decodeTokensPerSecond answer tokens generated in a second, for each request
 * @param coldStartMillis how long a cold start takes, in milliseconds
 * @param loadLagMillis how much load reports lag, in milliseconds
 */
public record EngineRates(double prefillTokensPerSecond, double decodeTokensPerSecond, long coldStartMillis,
		long loadLagMillis) {

	/**
	 * Rates that answer a thousand tokens within milliseconds and a million within
	 * seconds.
	 */
	public static final EngineRates DEMO = new EngineRates(400_000, 100, 1_000, 300);

}
