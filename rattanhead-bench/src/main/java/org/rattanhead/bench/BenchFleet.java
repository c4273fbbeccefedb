package org.rattanhead.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

import org.rattanhead.core.Payload;
import org.rattanhead.core.Sha256;
import org.rattanhead.core.catalogue.Catalogue;
import org.rattanhead.core.catalogue.CatalogueEntry;
import org.rattanhead.core.catalogue.ClassEntry;
import org.rattanhead.core.catalogue.EntryKey;
import org.rattanhead.core.catalogue.FailureDomainEntry;
import org.rattanhead.core.catalogue.FailureDomainState;
import org.rattanhead.core.catalogue.ModelEntry;
import org.rattanhead.core.catalogue.UpstreamEntry;
import org.rattanhead.core.catalogue.VersionedEntry;
import org.rattanhead.core.catalogue.WorkspaceEntry;
import org.rattanhead.core.host.Host;
import org.rattanhead.core.host.HostRole;
import org.rattanhead.core.host.HostState;
import org.rattanhead.core.request.CallerRequest;
import org.rattanhead.core.request.RequestId;
import org.rattanhead.core.request.Target;
import org.rattanhead.core.request.TargetKind;
import org.rattanhead.core.request.UpstreamCall;

/**
 * Builds catalogues, host lists and requests for the measurements.
 */
final class BenchFleet {

	/** The target of the requests. */
	static final Target MODEL = new Target(TargetKind.MODEL, "model");

	private static final int SLOTS = 64;

	private static final int MEMORY_TOKENS = 2_000_000;

	private static final UpstreamCall CALL = new UpstreamCall("POST", "/v1/chat/completions", "application/json", true,
			Payload.of("{}"));

	private BenchFleet() {
	}

	static Catalogue catalogue(int upstreams, int workspaces) {
		List<CatalogueEntry> entries = new ArrayList<>();
		entries.add(new ClassEntry("counter", "ops", 0, 10_000, 60_000));
		entries.add(new FailureDomainEntry("a", "ops", "r", FailureDomainState.IN));
		entries.add(new ModelEntry("model", "ops", MEMORY_TOKENS, MEMORY_TOKENS));
		for (int index = 0; index < workspaces; index++) {
			entries
				.add(new WorkspaceEntry("w" + index, "ops", "counter", key(index), Integer.MAX_VALUE, MEMORY_TOKENS));
		}
		for (int index = 0; index < upstreams; index++) {
			entries.add(new UpstreamEntry("u" + index, "ops", "a", "model", "", "127.0.0.1:1", SLOTS, SLOTS,
					MEMORY_TOKENS, false));
		}
		TreeMap<EntryKey, VersionedEntry> versioned = new TreeMap<>();
		entries.forEach((entry) -> versioned.put(entry.key(), new VersionedEntry(0, entry)));
		return new Catalogue(0, versioned);
	}

	static List<Host> hosts(int count) {
		List<Host> hosts = new ArrayList<>();
		for (int index = 0; index < count; index++) {
			hosts.add(new Host("d" + index, HostRole.ENTRY, HostState.LIVE, "a", "127.0.0.1:1", "127.0.0.1:2"));
		}
		return hosts;
	}

	static CallerRequest request(long number, int workspaces) {
		return new CallerRequest(new RequestId("r" + number), key((int) (number % workspaces)), MODEL, CALL, 1_000, 10,
				0, "", "");
	}

	private static String key(int index) {
		return Sha256.hex("key" + index);
	}

}
