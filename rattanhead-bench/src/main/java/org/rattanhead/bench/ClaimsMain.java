package org.rattanhead.bench;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.function.IntFunction;

import org.rattanhead.cli.demo.ClusterSettings;
import org.rattanhead.cli.demo.DemoCatalogue;
import org.rattanhead.cli.demo.LocalCluster;
import org.rattanhead.client.HttpCall;
import org.rattanhead.client.HttpClient;
import org.rattanhead.standin.EngineRates;

/**
 * Compares non-repeatable requests with lookups, with batched claims and with one claim
 * per append, on a log service that accepts 300 appends per second.
 */
public final class ClaimsMain {

	private static final int REQUESTS = 1_500;

	private static final int WARM_UP_REQUESTS = 30_000;

	private static final int MANY_IN_FLIGHT = 128;

	private static final double MEDIAN = 50;

	private static final double P99 = 99;

	private ClaimsMain() {
	}

	/**
	 * Runs the measurement.
	 * @param arguments not used
	 * @throws Exception if it fails
	 */
	public static void main(String[] arguments) throws Exception {
		for (int maxBatch : List.of(2_000, 1)) {
			ClusterSettings defaults = ClusterSettings.of(DemoCatalogue.shipped(), EngineRates.DEMO, true);
			ClusterSettings settings = new ClusterSettings(defaults.catalogue(), defaults.rates(), true,
					defaults.addressTtlMillis(), defaults.bodyTimeoutMillis(), maxBatch);
			try (LocalCluster cluster = new LocalCluster(settings); HttpClient caller = new HttpClient("bench", 2)) {
				InetSocketAddress address = cluster.addresses().get(0);
				ClosedLoop.run(caller, BenchCalls.lookup(address), WARM_UP_REQUESTS, MANY_IN_FLIGHT);
				measure(maxBatch, "lookup", 1, caller, BenchCalls.lookup(address));
				measure(maxBatch, "order", 1, caller, BenchCalls.order(address, "one"));
				measure(maxBatch, "lookup", MANY_IN_FLIGHT, caller, BenchCalls.lookup(address));
				measure(maxBatch, "order", MANY_IN_FLIGHT, caller, BenchCalls.order(address, "many"));
			}
		}
	}

	private static void measure(int maxBatch, String operation, int inFlight, HttpClient caller,
			IntFunction<HttpCall> calls) throws InterruptedException {
		int requests = (inFlight == 1) ? REQUESTS / 10 : REQUESTS;
		LoopResult result = ClosedLoop.run(caller, calls, requests, inFlight);
		System.out.printf(
				"batch of at most %4d, %3d in flight, %-6s %7.0f answered/s  p50 %8.1f ms  p99 %8.1f ms  %d refused%n",
				maxBatch, inFlight, operation, result.requestsPerSecond(), result.latencyMicros(MEDIAN) / 1_000,
				result.latencyMicros(P99) / 1_000, result.failed());
	}

}
