package org.rattanhead.standin;

import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;

import org.rattanhead.core.catalogue.Catalogue;
import org.rattanhead.core.catalogue.EntryKey;
import org.rattanhead.core.catalogue.UpstreamEntry;
import org.rattanhead.core.catalogue.VersionedEntry;
import org.rattanhead.core.host.HostAddress;
import org.rattanhead.standin.engine.EngineProfile;
import org.rattanhead.standin.engine.EngineStandin;
import org.rattanhead.standin.service.ServiceStandin;

/**
 * Runs a stand-in for every upstream of a catalogue.
 */
public final class StandinFleet implements AutoCloseable {

	private static final int ANY_PORT = 0;

	private final Map<String, EngineStandin> engines = new LinkedHashMap<>();

	private final Map<String, ServiceStandin> services = new LinkedHashMap<>();

	private final Catalogue catalogue;

	/**
	 * Starts the stand-ins.
	 * @param catalogue the catalogue
	 * @param rates processing rates of the engines
	 * @param anyPort whether to listen on free ports instead of those in the catalogue
	 */
	public StandinFleet(Catalogue catalogue, EngineRates rates, boolean anyPort) {
		TreeMap<EntryKey, VersionedEntry> entries = new TreeMap<>(catalogue.entries());
		for (UpstreamEntry upstream : catalogue.list(UpstreamEntry.class)) {
			InetSocketAddress configured = HostAddress.parse(upstream.address());
			InetSocketAddress address = anyPort ? new InetSocketAddress(configured.getAddress(), ANY_PORT) : configured;
			UpstreamEntry started = withAddress(upstream, startStandin(upstream, rates, address));
			entries.put(started.key(), new VersionedEntry(Catalogue.NO_OFFSET, started));
		}
		this.catalogue = new Catalogue(Catalogue.NO_OFFSET, entries);
	}

	/**
	 * Returns the catalogue with the addresses at which the stand-ins listen.
	 * @return the catalogue
	 */
	public Catalogue catalogue() {
		return this.catalogue;
	}

	/**
	 * Returns the engines.
	 * @return the engines by upstream
	 */
	public Map<String, EngineStandin> engines() {
		return this.engines;
	}

	/**
	 * Returns the plain services.
	 * @return the plain services by upstream
	 */
	public Map<String, ServiceStandin> services() {
		return this.services;
	}

	private InetSocketAddress startStandin(UpstreamEntry upstream, EngineRates rates, InetSocketAddress address) {
		if (!upstream.engine()) {
			ServiceStandin service = new ServiceStandin(address);
			this.services.put(upstream.name(), service);
			return service.address();
		}
		EngineStandin engine = new EngineStandin(address,
				new EngineProfile(upstream.name(), upstream.model(), rates.prefillTokensPerSecond(),
						rates.decodeTokensPerSecond(), upstream.memoryTokens(), upstream.slots(),
						upstream.coldStartSlots(), rates.coldStartMillis(), rates.loadLagMillis(),
						upstream.checksFencing()));
		this.engines.put(upstream.name(), engine);
		return engine.address();
	}

	private static UpstreamEntry withAddress(UpstreamEntry upstream, InetSocketAddress address) {
		return new UpstreamEntry(upstream.name(), upstream.owner(), upstream.failureDomain(), upstream.model(),
				upstream.service(), address.getAddress().getHostAddress() + ":" + address.getPort(), upstream.slots(),
				upstream.coldStartSlots(), upstream.memoryTokens(), upstream.checksFencing());
	}

	@Override
	public void close() {
		this.engines.values().forEach(EngineStandin::close);
		this.services.values().forEach(ServiceStandin::close);
	}

}
