package org.rattanhead.bench;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.net.InetSocketAddress;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;

import org.rattanhead.cli.demo.ClusterSettings;
import org.rattanhead.cli.demo.DemoCatalogue;
import org.rattanhead.cli.demo.LocalCluster;
import org.rattanhead.client.HttpClient;
import org.rattanhead.core.catalogue.Catalogue;
import org.rattanhead.core.catalogue.EntryKey;
import org.rattanhead.core.catalogue.UpstreamEntry;
import org.rattanhead.core.catalogue.VersionedEntry;
import org.rattanhead.standin.EngineRates;

/**
 * Measures the overhead of the daemon and of the peer link over a direct call to an
 * engine, with all three paths in one run.
 */
public final class OverheadMain {

	private static final EngineRates INSTANT_RATES = new EngineRates(1e12, 1e12, 100, 100);

	private static final int WARM_UP_REQUESTS = 4_000;

	private static final int REQUESTS = 4_000;

	private static final int LONG_ANSWER_TOKENS = 1_000;

	private static final int LONG_ANSWERS = 300;

	private static final int SATURATING_IN_FLIGHT = 32;

	private static final int SATURATING_REQUESTS = 40_000;

	private static final String ENGINE = "braga-engine-1";

	private static final double MEDIAN = 50;

	private static final double P99 = 99;

	private OverheadMain() {
	}

	/**
	 * Runs the measurement.
	 * @param arguments not used
	 * @throws Exception if it fails
	 */
	public static void main(String[] arguments) throws Exception {
		ClusterSettings settings = ClusterSettings.of(singleEngineCatalogue(), INSTANT_RATES, true);
		try (LocalCluster cluster = new LocalCluster(settings); HttpClient caller = new HttpClient("bench", 2)) {
			Map<String, InetSocketAddress> paths = new LinkedHashMap<>();
			paths.put("direct", cluster.fleet().engines().get(ENGINE).address());
			paths.put("daemon", daemonAddress(cluster, "braga"));
			paths.put("daemon+peer", daemonAddress(cluster, "guimaraes"));
			for (InetSocketAddress address : paths.values()) {
				ClosedLoop.run(caller, BenchCalls.chat(address, 1), WARM_UP_REQUESTS, 1);
				ClosedLoop.run(caller, BenchCalls.chat(address, LONG_ANSWER_TOKENS), LONG_ANSWERS, 1);
			}
			measureRequests(caller, paths);
			measureTokens(caller, paths);
			measureSaturation(caller, paths);
		}
	}

	private static void measureRequests(HttpClient caller, Map<String, InetSocketAddress> paths)
			throws InterruptedException {
		double directMicros = 0;
		for (Map.Entry<String, InetSocketAddress> path : paths.entrySet()) {
			LoopResult result = ClosedLoop.run(caller, BenchCalls.chat(path.getValue(), 1), REQUESTS, 1)
				.requireNoFailures();
			directMicros = (directMicros != 0) ? directMicros : result.latencyMicros(MEDIAN);
			System.out.printf("request %-12s p50 %8.0f us  p99 %8.0f us  ratio to direct %.2f%n", path.getKey(),
					result.latencyMicros(MEDIAN), result.latencyMicros(P99),
					result.latencyMicros(MEDIAN) / directMicros);
		}
	}

	private static void measureTokens(HttpClient caller, Map<String, InetSocketAddress> paths)
			throws InterruptedException {
		double directMicrosPerToken = 0;
		for (Map.Entry<String, InetSocketAddress> path : paths.entrySet()) {
			LoopResult result = ClosedLoop
				.run(caller, BenchCalls.chat(path.getValue(), LONG_ANSWER_TOKENS), LONG_ANSWERS, 1)
				.requireNoFailures();
			double microsPerToken = result.latencyMicros(MEDIAN) / LONG_ANSWER_TOKENS;
			directMicrosPerToken = (directMicrosPerToken != 0) ? directMicrosPerToken : microsPerToken;
			System.out.printf("token   %-12s p50 %8.2f us  ratio to direct %.2f%n", path.getKey(), microsPerToken,
					microsPerToken / directMicrosPerToken);
		}
	}

	private static void measureSaturation(HttpClient caller, Map<String, InetSocketAddress> paths)
			throws InterruptedException {
		for (Map.Entry<String, InetSocketAddress> path : paths.entrySet()) {
			Map<String, Long> before = dutyCpuNanos();
			LoopResult result = ClosedLoop
				.run(caller, BenchCalls.chat(path.getValue(), 1), SATURATING_REQUESTS, SATURATING_IN_FLIGHT)
				.requireNoFailures();
			Map<String, Long> after = dutyCpuNanos();
			System.out.printf("load    %-12s %8.0f requests/s with %d in flight%n", path.getKey(),
					result.requestsPerSecond(), SATURATING_IN_FLIGHT);
			after
				.forEach((thread, nanos) -> System.out.printf("        processor time of duty %-10s %6.2f us/request%n",
						thread, (nanos - before.getOrDefault(thread, 0L)) / 1_000.0 / SATURATING_REQUESTS));
		}
	}

	private static Map<String, Long> dutyCpuNanos() {
		ThreadMXBean threads = ManagementFactory.getThreadMXBean();
		Map<String, Long> cpuNanos = new TreeMap<>();
		Arrays.stream(threads.getThreadInfo(threads.getAllThreadIds()))
			.filter((thread) -> thread != null && isDutyThread(thread.getThreadName()))
			.forEach((thread) -> cpuNanos.merge(thread.getThreadName(), threads.getThreadCpuTime(thread.getThreadId()),
					Long::sum));
		return cpuNanos;
	}

	private static boolean isDutyThread(String name) {
		return name.equals("edge") || name.equals("holder") || name.equals("delivery") || name.equals("peer-out")
				|| name.equals("upstream");
	}

	private static InetSocketAddress daemonAddress(LocalCluster cluster, String failureDomain) {
		int index = 0;
		while (!cluster.hosts().get(index).failureDomain().equals(failureDomain)) {
			index++;
		}
		return cluster.addresses().get(index);
	}

	private static Catalogue singleEngineCatalogue() {
		TreeMap<EntryKey, VersionedEntry> entries = new TreeMap<>(DemoCatalogue.shipped().entries());
		entries.values()
			.removeIf((versioned) -> versioned.entry() instanceof UpstreamEntry upstream
					&& !upstream.name().equals(ENGINE));
		return new Catalogue(Catalogue.NO_OFFSET, entries);
	}

}
