package org.rattanhead.cli.demo;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import org.apache.logging.log4j.Level;

import org.rattanhead.client.HttpClient;
import org.rattanhead.core.catalogue.AuditRecord;
import org.rattanhead.core.catalogue.Catalogue;
import org.rattanhead.core.catalogue.CatalogueEdit;
import org.rattanhead.core.catalogue.FailureDomainEntry;
import org.rattanhead.core.host.Host;
import org.rattanhead.core.host.HostAddress;
import org.rattanhead.core.host.HostRole;
import org.rattanhead.core.host.HostState;
import org.rattanhead.core.problem.RemedyException;
import org.rattanhead.daemon.Daemon;
import org.rattanhead.daemon.DaemonSettings;
import org.rattanhead.daemon.LogFormat;
import org.rattanhead.daemon.LogSettings;
import org.rattanhead.decision.catalogue.CatalogueDiff;
import org.rattanhead.http.FrontEndSettings;
import org.rattanhead.peer.PeerSettings;
import org.rattanhead.platform.HttpLogService;
import org.rattanhead.platform.catalogue.CatalogueClient;
import org.rattanhead.standin.StandinFleet;
import org.rattanhead.standin.host.HostListStandin;
import org.rattanhead.standin.log.LogLimits;
import org.rattanhead.standin.log.LogStandin;

/**
 * Stand-ins for the platform and the upstreams, and one daemon for each failure domain,
 * in one process.
 */
public final class LocalCluster implements AutoCloseable {

	private static final String LOOPBACK = "127.0.0.1";

	private static final int MAX_BODY_BYTES = 16 * 1024 * 1024;

	private static final long PEER_PING_MILLIS = 500;

	private static final long PEER_TIMEOUT_MILLIS = 2_000;

	private static final long DRAIN_TIMEOUT_MILLIS = 60_000;

	private static final long READY_TIMEOUT_MILLIS = 20_000;

	private static final long POLL_MILLIS = 10;

	private final ClusterSettings settings;

	private final Deque<AutoCloseable> resources = new ArrayDeque<>();

	private final LogStandin log;

	private final HostListStandin hostList;

	private final StandinFleet fleet;

	private final HttpClient caller;

	private final List<Host> hosts = new ArrayList<>();

	private final Map<String, Daemon> daemons = new LinkedHashMap<>();

	/**
	 * Starts the stand-ins, publishes the catalogue, starts the daemons and waits until
	 * they are ready.
	 * @param settings the settings
	 */
	public LocalCluster(ClusterSettings settings) {
		this.settings = settings;
		this.log = closeAtEnd(new LogStandin(anyPort(), LogLimits.DEFAULT));
		this.hostList = closeAtEnd(new HostListStandin(anyPort(), 0));
		this.fleet = closeAtEnd(new StandinFleet(settings.catalogue(), settings.rates(), settings.anyPort()));
		this.caller = closeAtEnd(new HttpClient("cluster", 1));
		publish(this.fleet.catalogue(), "cluster", "start");
		for (FailureDomainEntry domain : settings.catalogue().list(FailureDomainEntry.class)) {
			this.hosts.add(new Host(domain.name() + "-entry-1", HostRole.ENTRY, HostState.LIVE, domain.name(),
					FreePorts.address(), FreePorts.address()));
		}
		this.hostList.set(this.hosts);
		this.hosts.forEach((host) -> this.daemons.put(host.name(), new Daemon(daemonSettings(host))));
		await("the daemons are not ready", () -> this.daemons.values().stream().allMatch(Daemon::ready));
	}

	/**
	 * Returns the entry hosts.
	 * @return the hosts
	 */
	public List<Host> hosts() {
		return List.copyOf(this.hosts);
	}

	/**
	 * Returns the addresses that callers connect to.
	 * @return one address for each daemon
	 */
	public List<InetSocketAddress> addresses() {
		return this.hosts.stream().map((host) -> HostAddress.parse(host.callerAddress())).toList();
	}

	/**
	 * Returns the daemons.
	 * @return the daemons by host
	 */
	public Map<String, Daemon> daemons() {
		return this.daemons;
	}

	/**
	 * Returns the upstreams.
	 * @return the stand-ins
	 */
	public StandinFleet fleet() {
		return this.fleet;
	}

	/**
	 * Returns the log service.
	 * @return the stand-in
	 */
	public LogStandin log() {
		return this.log;
	}

	/**
	 * Returns the host list.
	 * @return the stand-in
	 */
	public HostListStandin hostList() {
		return this.hostList;
	}

	/**
	 * Returns a client of the catalogue stream.
	 * @return the client
	 */
	public CatalogueClient catalogueClient() {
		return new CatalogueClient(new HttpLogService(this.caller, this.log.address()));
	}

	/**
	 * Publishes a catalogue as one edit.
	 * @param desired the catalogue
	 * @param author who publishes
	 * @param reason why
	 * @return the line of the audit trail
	 */
	public AuditRecord publish(Catalogue desired, String author, String reason) {
		CatalogueClient client = catalogueClient();
		Catalogue inForce = client.load().join().catalogue();
		return client
			.publish(new CatalogueEdit(UUID.randomUUID().toString(), author, System.currentTimeMillis(), reason,
					CatalogueDiff.changes(inForce, desired)))
			.join();
	}

	/**
	 * Waits for a condition.
	 * @param fault the fault to report if the condition is not met in time
	 * @param condition the condition
	 */
	public static void await(String fault, BooleanSupplier condition) {
		long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(READY_TIMEOUT_MILLIS);
		CountDownLatch pause = new CountDownLatch(1);
		try {
			while (!condition.getAsBoolean()) {
				if (System.nanoTime() > deadlineNanos) {
					throw new RemedyException("After " + READY_TIMEOUT_MILLIS + " ms " + fault,
							"look at the log lines above");
				}
				pause.await(POLL_MILLIS, TimeUnit.MILLISECONDS);
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private DaemonSettings daemonSettings(Host host) {
		return new DaemonSettings(host.name(),
				new FrontEndSettings(HostAddress.parse(host.callerAddress()), 2, MAX_BODY_BYTES,
						this.settings.bodyTimeoutMillis(), this.settings.addressTtlMillis()),
				new PeerSettings(host.name(), HostAddress.parse(host.peerAddress()), PEER_PING_MILLIS,
						PEER_TIMEOUT_MILLIS),
				this.log.address(), this.hostList.address(), new LogSettings(LogFormat.TEXT, Level.WARN),
				this.settings.claimBatch(), this.settings.addressTtlMillis(), DRAIN_TIMEOUT_MILLIS);
	}

	private static InetSocketAddress anyPort() {
		return new InetSocketAddress(LOOPBACK, 0);
	}

	private <T extends AutoCloseable> T closeAtEnd(T resource) {
		this.resources.push(resource);
		return resource;
	}

	@Override
	public void close() throws Exception {
		this.daemons.values().forEach(Daemon::close);
		while (!this.resources.isEmpty()) {
			this.resources.pop().close();
		}
	}

}
