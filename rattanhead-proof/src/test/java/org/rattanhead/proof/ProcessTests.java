package org.rattanhead.proof;

import java.io.OutputStream;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;

import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import org.rattanhead.cli.demo.DemoCatalogue;
import org.rattanhead.cli.demo.FreePorts;
import org.rattanhead.cli.demo.LocalCluster;
import org.rattanhead.cli.load.LoadOutcome;
import org.rattanhead.cli.load.LoadPlan;
import org.rattanhead.cli.load.LoadResult;
import org.rattanhead.cli.load.LoadRun;
import org.rattanhead.cli.load.LoadTarget;
import org.rattanhead.cli.load.PlannedRequest;
import org.rattanhead.client.HttpCall;
import org.rattanhead.client.HttpClient;
import org.rattanhead.core.catalogue.Catalogue;
import org.rattanhead.core.catalogue.CatalogueEdit;
import org.rattanhead.core.host.Host;
import org.rattanhead.core.host.HostAddress;
import org.rattanhead.core.host.HostRole;
import org.rattanhead.core.host.HostState;
import org.rattanhead.decision.catalogue.CatalogueDiff;
import org.rattanhead.platform.HttpLogService;
import org.rattanhead.platform.catalogue.CatalogueClient;
import org.rattanhead.standin.EngineRates;
import org.rattanhead.standin.StandinFleet;
import org.rattanhead.standin.host.HostListStandin;
import org.rattanhead.standin.log.LogLimits;
import org.rattanhead.standin.log.LogStandin;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Three daemons, each in a separate process.
 */
class ProcessTests {

	private static final PrintStream NO_OUTPUT = new PrintStream(OutputStream.nullOutputStream());

	private static final int REQUESTS = 30;

	private static final int OUTPUT_TOKENS = 200;

	private static final EngineRates RATES = new EngineRates(4_000_000, 400, 100, 100);

	@TempDir
	private Path folder;

	@ParameterizedTest(name = "one daemon terminated under load: {0}")
	@ValueSource(booleans = { false, true })
	void completesAllRequestsDuringShutdown(boolean terminate) throws Exception {
		InetSocketAddress anyPort = new InetSocketAddress("127.0.0.1", 0);
		List<DaemonProcess> daemons = new ArrayList<>();
		try (LogStandin log = new LogStandin(anyPort, LogLimits.DEFAULT);
				HostListStandin hostList = new HostListStandin(anyPort, 0);
				StandinFleet fleet = new StandinFleet(DemoCatalogue.shipped(), RATES, true);
				HttpClient caller = new HttpClient("test", 1)) {
			publish(caller, log, fleet.catalogue());
			List<Host> hosts = hosts();
			hostList.set(hosts);
			for (Host host : hosts) {
				daemons.add(DaemonProcess.start(this.folder, host, hostAndPort(log.address()),
						hostAndPort(hostList.address())));
			}
			hosts.forEach((host) -> LocalCluster.await(host.name() + " is not ready", () -> ready(caller, host)));
			CompletableFuture<LoadResult> load = CompletableFuture.supplyAsync(() -> load(hosts));
			if (terminate) {
				LocalCluster.await("fewer than half of the requests are running", () -> running(fleet) >= REQUESTS / 2);
				daemons.get(0).terminate();
				assertThat(daemons.get(0).awaitExit(60)).isTrue();
			}
			assertThat(load.join().outcomes()).hasSize(REQUESTS).allMatch(LoadOutcome::answeredCorrectly);
			assertThat(Files.readString(this.folder.resolve(hosts.get(1).name() + ".err"))).contains("{\"time\":",
					"daemon: ");
		}
		finally {
			daemons.forEach(DaemonProcess::close);
		}
	}

	private static int running(StandinFleet fleet) {
		return fleet.engines().values().stream().mapToInt((engine) -> engine.heldMemory().size()).sum();
	}

	private static LoadResult load(List<Host> hosts) {
		LoadPlan plan = new LoadPlan(7,
				IntStream.range(0, REQUESTS)
					.mapToObj((index) -> new PlannedRequest(index, 0, 1_000, OUTPUT_TOKENS))
					.toList());
		List<InetSocketAddress> addresses = hosts.stream()
			.map((host) -> HostAddress.parse(host.callerAddress()))
			.toList();
		try {
			return LoadRun.run(plan, new LoadTarget(addresses, TestClusters.KEY, TestClusters.MODEL, true), NO_OUTPUT);
		}
		catch (InterruptedException ex) {
			throw new IllegalStateException(ex);
		}
	}

	private static boolean ready(HttpClient caller, Host host) {
		return caller.call(HttpCall.get(HostAddress.parse(host.callerAddress()), "/readyz", 1_000))
			.handle((reply, failure) -> failure == null && reply.status() == 200)
			.join();
	}

	private static List<Host> hosts() {
		return List.of("braga", "guimaraes", "barcelos")
			.stream()
			.map((domain) -> new Host(domain + "-entry-1", HostRole.ENTRY, HostState.LIVE, domain, FreePorts.address(),
					FreePorts.address()))
			.toList();
	}

	private static void publish(HttpClient caller, LogStandin log, Catalogue catalogue) {
		CatalogueClient client = new CatalogueClient(new HttpLogService(caller, log.address()));
		client
			.publish(new CatalogueEdit(UUID.randomUUID().toString(), "test", 0, "start",
					CatalogueDiff.changes(Catalogue.EMPTY, catalogue)))
			.join();
	}

	private static String hostAndPort(InetSocketAddress address) {
		return "127.0.0.1:" + address.getPort();
	}

}
