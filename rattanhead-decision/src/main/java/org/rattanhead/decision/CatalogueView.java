package org.rattanhead.decision;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

import org.rattanhead.core.catalogue.Catalogue;
import org.rattanhead.core.catalogue.CatalogueEntry;
import org.rattanhead.core.catalogue.ClassEntry;
import org.rattanhead.core.catalogue.EntryKey;
import org.rattanhead.core.catalogue.EntryKind;
import org.rattanhead.core.catalogue.FailureDomainEntry;
import org.rattanhead.core.catalogue.FailureDomainState;
import org.rattanhead.core.catalogue.UpstreamEntry;
import org.rattanhead.core.catalogue.WorkspaceEntry;
import org.rattanhead.core.request.Target;
import org.rattanhead.core.request.TargetKind;

/**
 * A catalogue with the indexes that decisions need. Built once per change of the
 * catalogue.
 */
public final class CatalogueView {

	/** The view before the first catalogue. */
	public static final CatalogueView EMPTY = new CatalogueView(Catalogue.EMPTY);

	private final Catalogue catalogue;

	private final Map<String, WorkspaceEntry> workspacesByKey;

	private final Map<Target, List<UpstreamEntry>> upstreamsByTarget;

	private final Map<String, UpstreamEntry> upstreams;

	private final Map<Target, Integer> largestMemoryTokens = new HashMap<>();

	/**
	 * Indexes a catalogue.
	 * @param catalogue the catalogue
	 */
	public CatalogueView(Catalogue catalogue) {
		this.catalogue = catalogue;
		this.workspacesByKey = catalogue.list(WorkspaceEntry.class)
			.stream()
			.collect(Collectors.toMap(WorkspaceEntry::keySha256, (entry) -> entry));
		this.upstreams = catalogue.list(UpstreamEntry.class)
			.stream()
			.collect(Collectors.toMap(UpstreamEntry::name, (entry) -> entry));
		this.upstreamsByTarget = catalogue.list(UpstreamEntry.class)
			.stream()
			.collect(Collectors.groupingBy(CatalogueView::targetOf));
		this.upstreamsByTarget.forEach((target, entries) -> this.largestMemoryTokens.put(target,
				entries.stream().mapToInt(UpstreamEntry::memoryTokens).max().orElse(0)));
	}

	/**
	 * Returns the catalogue.
	 * @return the catalogue
	 */
	public Catalogue catalogue() {
		return this.catalogue;
	}

	/**
	 * Returns whether any catalogue has been read.
	 * @return false until the first record has been read
	 */
	public boolean available() {
		return this.catalogue.offset() != Catalogue.NO_OFFSET;
	}

	/**
	 * Finds the workspace of a key.
	 * @param keySha256 the SHA-256 digest of the key
	 * @return the workspace
	 */
	public Optional<WorkspaceEntry> workspace(String keySha256) {
		return Optional.ofNullable(this.workspacesByKey.get(keySha256));
	}

	/**
	 * Finds the class of a workspace.
	 * @param workspace the workspace
	 * @return the class
	 */
	public ClassEntry classOf(WorkspaceEntry workspace) {
		return find(EntryKind.CLASS, workspace.className(), ClassEntry.class).orElseThrow();
	}

	/**
	 * Finds an entry.
	 * @param <E> the record class
	 * @param kind the kind
	 * @param name the name
	 * @param type the record class
	 * @return the entry
	 */
	public <E extends CatalogueEntry> Optional<E> find(EntryKind kind, String name, Class<E> type) {
		return this.catalogue.find(new EntryKey(kind, name)).map(type::cast);
	}

	/**
	 * Lists the upstreams of a model or service.
	 * @param target the model or service
	 * @return the upstreams
	 */
	public List<UpstreamEntry> upstreams(Target target) {
		return this.upstreamsByTarget.getOrDefault(target, List.of());
	}

	/**
	 * Returns all upstreams.
	 * @return the upstreams by name
	 */
	public Map<String, UpstreamEntry> upstreams() {
		return this.upstreams;
	}

	/**
	 * Returns the largest memory of any engine of a model.
	 * @param target the model
	 * @return the memory in tokens, 0 if there is no engine
	 */
	public int largestMemoryTokens(Target target) {
		return this.largestMemoryTokens.getOrDefault(target, 0);
	}

	/**
	 * Returns whether a failure domain accepts new work.
	 * @param name the failure domain
	 * @return true if the catalogue lists it as {@link FailureDomainState#IN}
	 */
	public boolean acceptsWork(String name) {
		return find(EntryKind.FAILURE_DOMAIN, name, FailureDomainEntry.class)
			.map((domain) -> domain.state() == FailureDomainState.IN)
			.orElse(false);
	}

	/**
	 * Returns the region of a failure domain.
	 * @param name the failure domain
	 * @return the region, an empty string if the failure domain is unknown
	 */
	public String region(String name) {
		return find(EntryKind.FAILURE_DOMAIN, name, FailureDomainEntry.class).map(FailureDomainEntry::region)
			.orElse("");
	}

	private static Target targetOf(UpstreamEntry upstream) {
		return new Target(upstream.engine() ? TargetKind.MODEL : TargetKind.SERVICE, upstream.target());
	}

}
