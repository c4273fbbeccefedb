package org.rattanhead.cli.demo;

import org.rattanhead.core.catalogue.Catalogue;
import org.rattanhead.standin.EngineRates;

/**
 * Settings of a cluster in one process.
 *
 * @param catalogue the catalogue; upstreams are started at its addresses
 * @param rates how fast the engines are
 * @param anyPort whether upstreams take free ports instead of those in the catalogue
 * @param addressTtlMillis how long callers may keep addresses, in milliseconds
 * @param bodyTimeoutMillis how long a body may take to arrive, in milliseconds
 */
public record ClusterSettings(Catalogue catalogue, EngineRates rates, boolean anyPort, long addressTtlMillis,
		long bodyTimeoutMillis) {
}
