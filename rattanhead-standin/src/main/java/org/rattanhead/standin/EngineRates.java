package org.rattanhead.standin;

/**
 * Processing rates and delays of the engines in a fleet of stand-ins.
 *
 * @param prefillTokensPerSecond prompt tokens processed per second, over all requests of
 * an engine
 * @param decodeTokensPerSecond answer tokens generated per second, for each request
 * @param coldStartMillis duration of a cold start, in milliseconds
 * @param loadLagMillis delay of load reports, in milliseconds
 */
public record EngineRates(double prefillTokensPerSecond, double decodeTokensPerSecond, long coldStartMillis,
		long loadLagMillis) {

	/**
	 * Rates at which a prompt of 1,000 tokens takes milliseconds and one of 1,000,000
	 * tokens takes seconds.
	 */
	public static final EngineRates DEMO = new EngineRates(400_000, 100, 1_000, 300);

}
