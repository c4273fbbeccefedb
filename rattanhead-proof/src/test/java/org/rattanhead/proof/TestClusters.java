package org.rattanhead.proof;

import java.util.stream.Collectors;

import org.rattanhead.cli.demo.ClusterSettings;
import org.rattanhead.cli.demo.DemoCatalogue;
import org.rattanhead.cli.demo.LocalCluster;
import org.rattanhead.standin.EngineRates;
import org.rattanhead.standin.engine.EngineCounts;
import org.rattanhead.standin.engine.EngineStandin;

/**
 * Clusters for tests, on free ports.
 */
final class TestClusters {

	/** The key of the workspace that tests use. */
	static final String KEY = "demo-key-clerks";

	/** The model that tests use. */
	static final String MODEL = "plume-draft";

	private static final EngineRates FAST = new EngineRates(4_000_000, 2_000, 200, 100);

	private static final long ADDRESS_TTL_MILLIS = 100;

	private static final long BODY_TIMEOUT_MILLIS = 2_000;

	private static final int CLAIM_BATCH = 2_000;

	private TestClusters() {
	}

	static LocalCluster start() {
		return start(FAST);
	}

	static LocalCluster start(EngineRates rates) {
		return new LocalCluster(new ClusterSettings(DemoCatalogue.shipped(), rates, true, ADDRESS_TTL_MILLIS,
				BODY_TIMEOUT_MILLIS, CLAIM_BATCH));
	}

	static long finished(LocalCluster cluster) {
		return cluster.fleet()
			.engines()
			.values()
			.stream()
			.map(EngineStandin::counts)
			.collect(Collectors.summingLong(EngineCounts::finished));
	}

}
