package org.rattanhead.decision.catalogue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.ToLongFunction;
import java.util.regex.Pattern;
import java.util.stream.Stream;

import org.rattanhead.core.catalogue.Catalogue;
import org.rattanhead.core.catalogue.CatalogueEntry;
import org.rattanhead.core.catalogue.ClassEntry;
import org.rattanhead.core.catalogue.EntryKey;
import org.rattanhead.core.catalogue.EntryKind;
import org.rattanhead.core.catalogue.FailureDomainEntry;
import org.rattanhead.core.catalogue.Finding;
import org.rattanhead.core.catalogue.ModelEntry;
import org.rattanhead.core.catalogue.UpstreamEntry;
import org.rattanhead.core.catalogue.VersionedEntry;
import org.rattanhead.core.catalogue.WorkspaceEntry;
import org.rattanhead.core.host.HostAddress;

/**
 * The conditions that a catalogue must satisfy to be in force.
 */
public final class CatalogueRules {

	private static final Pattern NAME = Pattern.compile("[a-z0-9][a-z0-9._-]{0,62}");

	private static final Pattern SHA256 = Pattern.compile("[0-9a-f]{64}");

	private static final List<CatalogueRule> RULES = List.of(
			entryRule(CatalogueEntry.class,
					(entry, catalogue) -> matches(entry, NAME, entry.name(), "name",
							"use 1 to 63 lower-case letters, digits, '.', '_' and '-'")),
			entryRule(CatalogueEntry.class,
					(entry, catalogue) -> require(entry, !entry.owner().isBlank(), "it has no owner", "set 'owner'")),
			positive(ClassEntry.class, "deadline", ClassEntry::deadlineMillis),
			entryRule(ClassEntry.class,
					(entry, catalogue) -> require(entry, entry.maxDeadlineMillis() >= entry.deadlineMillis(),
							"max-deadline is below deadline", "raise 'max-deadline' or lower 'deadline'")),
			entryRule(FailureDomainEntry.class,
					(entry, catalogue) -> require(entry, !entry.region().isBlank(), "it has no region",
							"set 'region'")),
			positive(ModelEntry.class, "max-prompt-tokens", ModelEntry::maxPromptTokens),
			positive(ModelEntry.class, "max-output-tokens", ModelEntry::maxOutputTokens),
			positive(WorkspaceEntry.class, "max-concurrent-requests", WorkspaceEntry::maxConcurrentRequests),
			positive(WorkspaceEntry.class, "max-prompt-tokens", WorkspaceEntry::maxPromptTokens),
			references(WorkspaceEntry.class, EntryKind.CLASS, WorkspaceEntry::className),
			entryRule(WorkspaceEntry.class,
					(entry, catalogue) -> matches(entry, SHA256, entry.keySha256(), "key-sha256",
							"run 'rattanhead key' for a key and its digest")),
			CatalogueRules::distinctKeys,
			references(UpstreamEntry.class, EntryKind.FAILURE_DOMAIN, UpstreamEntry::failureDomain),
			entryRule(UpstreamEntry.class,
					(entry, catalogue) -> require(entry, entry.model().isEmpty() != entry.service().isEmpty(),
							"it must serve either a model or a service", "set one of 'model' and 'service'")),
			references(UpstreamEntry.class, EntryKind.MODEL, UpstreamEntry::model),
			references(UpstreamEntry.class, EntryKind.SERVICE, UpstreamEntry::service),
			entryRule(UpstreamEntry.class,
					(entry, catalogue) -> require(entry, HostAddress.valid(entry.address()),
							"address '" + entry.address() + "' is not IP:PORT", "write it as 127.0.0.1:9001")),
			positive(UpstreamEntry.class, "slots", UpstreamEntry::slots),
			positive(UpstreamEntry.class, "cold-start-slots", UpstreamEntry::coldStartSlots),
			entryRule(UpstreamEntry.class,
					(entry, catalogue) -> require(entry, entry.coldStartSlots() <= entry.slots(),
							"cold-start-slots is above slots", "lower 'cold-start-slots'")),
			entryRule(UpstreamEntry.class,
					(entry, catalogue) -> require(entry, !entry.engine() || entry.memoryTokens() > 0,
							"memory-tokens must be above 0 for an engine", "set 'memory-tokens'")));

	private CatalogueRules() {
	}

	/**
	 * Checks a catalogue.
	 * @param catalogue the catalogue
	 * @return the violations found, empty if it may be in force
	 */
	public static List<Finding> check(Catalogue catalogue) {
		return RULES.stream().flatMap((rule) -> rule.check(catalogue)).toList();
	}

	private static <E extends CatalogueEntry> CatalogueRule entryRule(Class<E> type, EntryRule<E> rule) {
		return (catalogue) -> catalogue.entries()
			.values()
			.stream()
			.map(VersionedEntry::entry)
			.filter(type::isInstance)
			.map(type::cast)
			.flatMap((entry) -> rule.check(entry, catalogue).stream());
	}

	private static <E extends CatalogueEntry> CatalogueRule positive(Class<E> type, String field,
			ToLongFunction<E> value) {
		return entryRule(type, (entry, catalogue) -> require(entry, value.applyAsLong(entry) > 0,
				field + " must be above 0, not " + value.applyAsLong(entry), "raise '" + field + "'"));
	}

	private static <E extends CatalogueEntry> CatalogueRule references(Class<E> type, EntryKind kind,
			Function<E, String> name) {
		return entryRule(type, (entry, catalogue) -> {
			EntryKey key = new EntryKey(kind, name.apply(entry));
			boolean found = key.name().isEmpty() || catalogue.find(key).isPresent();
			return require(entry, found, "there is no " + key, "add it, or name another");
		});
	}

	private static Optional<Finding> matches(CatalogueEntry entry, Pattern pattern, String value, String field,
			String remedy) {
		return require(entry, pattern.matcher(value).matches(), field + " '" + value + "' is malformed", remedy);
	}

	private static Optional<Finding> require(CatalogueEntry entry, boolean satisfied, String fault, String remedy) {
		return satisfied ? Optional.empty() : Optional.of(new Finding(entry.key(), fault, remedy));
	}

	private static Stream<Finding> distinctKeys(Catalogue catalogue) {
		Map<String, WorkspaceEntry> seen = new HashMap<>();
		return catalogue.list(WorkspaceEntry.class).stream().flatMap((entry) -> {
			WorkspaceEntry other = seen.putIfAbsent(entry.keySha256(), entry);
			return require(entry, other == null, "it has the same key as another workspace",
					"give it a key of its own with 'rattanhead key'")
				.stream();
		});
	}

}
