package org.rattanhead.bench;

import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

import com.sun.management.OperatingSystemMXBean;

import org.rattanhead.cli.demo.ClusterSettings;
import org.rattanhead.cli.demo.LocalCluster;
import org.rattanhead.client.HttpCall;
import org.rattanhead.client.HttpClient;
import org.rattanhead.core.catalogue.Catalogue;
import org.rattanhead.core.catalogue.CatalogueEntry;
import org.rattanhead.core.catalogue.EntryKey;
import org.rattanhead.core.catalogue.FailureDomainEntry;
import org.rattanhead.core.catalogue.FailureDomainState;
import org.rattanhead.core.catalogue.VersionedEntry;
import org.rattanhead.standin.EngineRates;

/**
 * Measures the control overhead of idle daemons: processor time, bytes sent to peers and
 * heap, with given numbers of daemons in one process.
 */
public final class ControlCostMain {

	private static final long SETTLE_MILLIS = 15_000;

	private static final long MEASURE_MILLIS = 6_000;

	private static final double NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);

	private ControlCostMain() {
	}

	/**
	 * Runs the measurement.
	 * @param arguments the numbers of daemons
	 * @throws Exception if it fails
	 */
	public static void main(String[] arguments) throws Exception {
		for (String argument : arguments) {
			measure(Integer.parseInt(argument));
		}
	}

	private static void measure(int daemons) throws Exception {
		OperatingSystemMXBean operatingSystem = (OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
		ClusterSettings settings = ClusterSettings.of(catalogue(daemons), EngineRates.DEMO, true);
		try (LocalCluster cluster = new LocalCluster(settings); HttpClient caller = new HttpClient("bench", 1)) {
			TimeUnit.MILLISECONDS.sleep(SETTLE_MILLIS);
			long cpuNanos = operatingSystem.getProcessCpuTime();
			double sentBytes = peerSentBytes(cluster, caller);
			TimeUnit.MILLISECONDS.sleep(MEASURE_MILLIS);
			double busyCores = (operatingSystem.getProcessCpuTime() - cpuNanos) / (MEASURE_MILLIS * NANOS_PER_MILLI);
			double bytesPerSecond = (peerSentBytes(cluster, caller) - sentBytes)
					/ TimeUnit.MILLISECONDS.toSeconds(MEASURE_MILLIS);
			System.gc();
			long heapBytes = ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
			System.out.printf(
					"%4d daemons: %.2f%% of a core, %.0f peer bytes/s sent, %.1f MB of heap, for each daemon%n",
					daemons, 100 * busyCores / daemons, bytesPerSecond / daemons, heapBytes / 1e6 / daemons);
		}
	}

	private static double peerSentBytes(LocalCluster cluster, HttpClient caller) {
		return cluster.addresses()
			.stream()
			.map((address) -> caller.call(HttpCall.get(address, "/metrics", 10_000)).join().body().text())
			.flatMap(String::lines)
			.filter((line) -> line.startsWith("rattanhead_peer_sent_bytes"))
			.mapToDouble((line) -> Double.parseDouble(line.substring(line.lastIndexOf(' '))))
			.sum();
	}

	private static Catalogue catalogue(int daemons) {
		List<CatalogueEntry> entries = new ArrayList<>(BenchFleet.catalogue(0, 10).list(CatalogueEntry.class));
		for (int index = 0; index < daemons; index++) {
			entries.add(new FailureDomainEntry("d" + index, "ops", "r", FailureDomainState.IN));
		}
		entries.removeIf((entry) -> entry.name().equals("a"));
		TreeMap<EntryKey, VersionedEntry> versioned = new TreeMap<>();
		entries.forEach((entry) -> versioned.put(entry.key(), new VersionedEntry(Catalogue.NO_OFFSET, entry)));
		return new Catalogue(Catalogue.NO_OFFSET, versioned);
	}

}
