package org.rattanhead.decision;

import java.util.List;
import java.util.Set;
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
import org.rattanhead.core.catalogue.ServiceEntry;
import org.rattanhead.core.catalogue.UpstreamEntry;
import org.rattanhead.core.catalogue.VersionedEntry;
import org.rattanhead.core.catalogue.WorkspaceEntry;
import org.rattanhead.core.host.Host;
import org.rattanhead.core.host.HostRole;
import org.rattanhead.core.host.HostState;
import org.rattanhead.core.request.AttemptId;
import org.rattanhead.core.request.CallerRequest;
import org.rattanhead.core.request.RequestId;
import org.rattanhead.core.request.Target;
import org.rattanhead.core.request.TargetKind;
import org.rattanhead.core.request.UpstreamCall;
import org.rattanhead.core.request.Work;

/**
 * Catalogue entries, hosts and requests for tests.
 */
public final class Fixtures {

	/** One millisecond in nanoseconds. */
	public static final long MILLI = 1_000_000;

	/** One second in nanoseconds. */
	public static final long SECOND = 1_000 * MILLI;

	/** The key of the workspace. */
	public static final String KEY = Sha256.hex("key");

	/** The model. */
	public static final Target MODEL = new Target(TargetKind.MODEL, "model");

	/** The plain service. */
	public static final Target SERVICE = new Target(TargetKind.SERVICE, "orders");

	private Fixtures() {
	}

	public static ClassEntry counterClass() {
		return new ClassEntry("counter", "ops", 0, 10_000, 60_000);
	}

	public static FailureDomainEntry domain(String name, FailureDomainState state) {
		return new FailureDomainEntry(name, "ops", "region", state);
	}

	public static WorkspaceEntry workspace(int maxConcurrent) {
		return new WorkspaceEntry("clerks", "ops", "counter", KEY, maxConcurrent, 10_000);
	}

	public static UpstreamEntry engine(String name, String domain, int slots, int coldSlots) {
		return new UpstreamEntry(name, "ops", domain, "model", "", "127.0.0.1:9001", slots, coldSlots, 20_000, false);
	}

	public static UpstreamEntry service(String name, String domain) {
		return new UpstreamEntry(name, "ops", domain, "", "orders", "127.0.0.1:9002", 8, 8, 0, false);
	}

	public static List<CatalogueEntry> baseEntries() {
		return List.of(counterClass(), domain("a", FailureDomainState.IN), domain("b", FailureDomainState.IN),
				new ModelEntry("model", "ops", 50_000, 1_000), new ServiceEntry("orders", "ops", List.of("/orders")),
				workspace(4), engine("e1", "a", 4, 1), engine("e2", "b", 4, 1), service("s1", "a"));
	}

	public static Catalogue catalogue(List<? extends CatalogueEntry> entries) {
		TreeMap<EntryKey, VersionedEntry> all = new TreeMap<>();
		entries.forEach((entry) -> all.put(entry.key(), new VersionedEntry(0, entry)));
		return new Catalogue(0, all);
	}

	public static CatalogueView view() {
		return new CatalogueView(catalogue(baseEntries()));
	}

	public static Host entryHost(String name, String domain) {
		return new Host(name, HostRole.ENTRY, HostState.LIVE, domain, "127.0.0.1:1", "127.0.0.1:2");
	}

	public static List<Host> hosts() {
		return List.of(entryHost("da", "a"), entryHost("db", "b"));
	}

	public static Set<String> noLeavingUpstreams() {
		return Set.of();
	}

	public static CallerRequest request(String id, int promptTokens) {
		return request(id, MODEL, promptTokens, 0, "");
	}

	public static CallerRequest request(String id, Target target, int promptTokens, long timeoutMillis, String key) {
		String path = (target.kind() == TargetKind.SERVICE) ? "/orders" : "/v1/chat/completions";
		return new CallerRequest(new RequestId(id), KEY, target, call(path), promptTokens, 10, timeoutMillis, key,
				key.isEmpty() ? "" : "digest");
	}

	public static UpstreamCall call(String path) {
		return new UpstreamCall("POST", path, "application/json", true, Payload.of("{}"));
	}

	public static AttemptId attempt(String id, int number) {
		return new AttemptId(new RequestId(id), number);
	}

	public static Work work(String id, int priority, int promptTokens, long deadlineNanos) {
		return new Work(attempt(id, 1), "clerks", MODEL, call("/v1/chat/completions"), priority, promptTokens, 10,
				deadlineNanos, "");
	}

}
