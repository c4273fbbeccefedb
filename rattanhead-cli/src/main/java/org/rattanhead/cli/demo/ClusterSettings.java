package org.rattanhead.cli.demo;

import org.rattanhead.core.catalogue.Catalogue;
import org.rattanhead.standin.EngineRates;

/**
 * Settings of a cluster in one process.
 *
 * @param catalogue the catalogue; upstreams are started at its addresses
 * @param rates the speed of the engines
 * @param anyPort whether upstreams listen on free ports instead of those in the catalogue
 * @param addressTtlMillis how long callers may cache addresses, in milliseconds
 * @param bodyTimeoutMillis the time limit for receiving a body, in milliseconds
 * @param claimBatch the maximum number of claims in one append to the log service
 */
public record ClusterSettings(Catalogue catalogue, EngineRates rates, boolean anyPort, long addressTtlMillis,
		long bodyTimeoutMillis, int claimBatch) {

	private static final long ADDRESS_TTL_MILLIS = 500;

	private static final long BODY_TIMEOUT_MILLIS = 10_000;

	private static final int MAX_CLAIM_BATCH = 2_000;

	/**
	 * Creates settings with the default time limits and batch size.
	 * @param catalogue the catalogue
	 * @param rates the speed of the engines
	 * @param anyPort whether upstreams listen on free ports
	 * @return the settings
	 */
	public static ClusterSettings of(Catalogue catalogue, EngineRates rates, boolean anyPort) {
		return new ClusterSettings(catalogue, rates, anyPort, ADDRESS_TTL_MILLIS, BODY_TIMEOUT_MILLIS, MAX_CLAIM_BATCH);
	}

}
