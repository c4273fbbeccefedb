package org.rattanhead.platform.catalogue;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.Collectors;

import org.rattanhead.core.catalogue.Catalogue;
import org.rattanhead.core.catalogue.CatalogueEntry;
import org.rattanhead.core.catalogue.ClassEntry;
import org.rattanhead.core.catalogue.EntryKey;
import org.rattanhead.core.catalogue.EntryKind;
import org.rattanhead.core.catalogue.FailureDomainEntry;
import org.rattanhead.core.catalogue.FailureDomainState;
import org.rattanhead.core.catalogue.Finding;
import org.rattanhead.core.catalogue.ModelEntry;
import org.rattanhead.core.catalogue.ServiceEntry;
import org.rattanhead.core.catalogue.UpstreamEntry;
import org.rattanhead.core.catalogue.VersionedEntry;
import org.rattanhead.core.catalogue.WorkspaceEntry;
import org.rattanhead.decision.catalogue.CatalogueRules;
import org.rattanhead.settings.IniFile;
import org.rattanhead.settings.IniSection;
import org.rattanhead.settings.SectionReader;
import org.rattanhead.settings.SettingFault;
import org.rattanhead.settings.SettingsException;

/**
 * Reads a catalogue from an INI file. Each section is an entry; its header gives the kind
 * and the name of the entry: {@code [workspace counter]}.
 */
public final class CatalogueFile {

	private static final int MAX_TOKENS = 100_000_000;

	private static final int MAX_COUNT = 1_000_000;

	private static final Map<EntryKind, EntryParser> PARSERS = new EnumMap<>(EntryKind.class);

	static {
		PARSERS.put(EntryKind.CLASS,
				(name, in) -> new ClassEntry(name, in.text("owner"), in.integer("priority", 0, MAX_COUNT),
						in.durationMillis("deadline"), in.durationMillis("max-deadline")));
		PARSERS.put(EntryKind.FAILURE_DOMAIN, (name, in) -> new FailureDomainEntry(name, in.text("owner"),
				in.text("region"), in.enumValue("state", FailureDomainState.class, FailureDomainState.IN)));
		PARSERS.put(EntryKind.MODEL, (name, in) -> new ModelEntry(name, in.text("owner"),
				in.integer("max-prompt-tokens", 1, MAX_TOKENS), in.integer("max-output-tokens", 1, MAX_TOKENS)));
		PARSERS.put(EntryKind.SERVICE,
				(name, in) -> new ServiceEntry(name, in.text("owner"), in.list("non-repeatable-paths")));
		PARSERS.put(EntryKind.WORKSPACE,
				(name, in) -> new WorkspaceEntry(name, in.text("owner"), in.text("class"), in.text("key-sha256"),
						in.integer("max-concurrent-requests", 1, MAX_COUNT),
						in.integer("max-prompt-tokens", 1, MAX_TOKENS)));
		PARSERS.put(EntryKind.UPSTREAM,
				(name, in) -> new UpstreamEntry(name, in.text("owner"), in.text("failure-domain"), in.text("model", ""),
						in.text("service", ""), in.address("address"), in.integer("slots", 1, MAX_COUNT),
						in.integer("cold-start-slots", 1, MAX_COUNT), in.integer("memory-tokens", 0, MAX_TOKENS, 0),
						in.flag("checks-fencing", false)));
	}

	private CatalogueFile() {
	}

	/**
	 * Reads and checks a file.
	 * @param path the file
	 * @return the desired catalogue; its offsets have no meaning
	 * @throws SettingsException with every fault found
	 */
	public static Catalogue read(Path path) {
		return parse(IniFile.read(path));
	}

	/**
	 * Checks the sections of a file.
	 * @param file the sections
	 * @return the desired catalogue; its offsets have no meaning
	 * @throws SettingsException with every fault found
	 */
	public static Catalogue parse(IniFile file) {
		List<SettingFault> faults = new ArrayList<>();
		TreeMap<EntryKey, VersionedEntry> entries = new TreeMap<>();
		for (IniSection section : file.sections()) {
			parseEntry(file.name(), section, faults)
				.ifPresent((entry) -> entries.put(entry.key(), new VersionedEntry(Catalogue.NO_OFFSET, entry)));
		}
		Catalogue catalogue = new Catalogue(Catalogue.NO_OFFSET, entries);
		if (faults.isEmpty()) {
			CatalogueRules.check(catalogue).forEach((finding) -> faults.add(toFault(file.name(), finding)));
		}
		if (!faults.isEmpty()) {
			throw new SettingsException(faults);
		}
		return catalogue;
	}

	private static Optional<CatalogueEntry> parseEntry(String file, IniSection section, List<SettingFault> faults) {
		String[] words = section.name().split("\\s+", 2);
		Optional<EntryKind> kind = EntryKind.ofLabel(words[0]);
		if (kind.isEmpty() || words.length != 2) {
			String kinds = PARSERS.keySet().stream().map(EntryKind::label).collect(Collectors.joining(", "));
			faults.add(new SettingFault(file, section.name(), "", "the section header does not name an entry",
					"name the section 'KIND NAME' with one of these kinds: " + kinds));
			return Optional.empty();
		}
		SectionReader reader = new SectionReader(file, section, faults::add);
		CatalogueEntry entry = PARSERS.get(kind.get()).parse(words[1].trim(), reader);
		reader.reportUnknownKeys();
		return Optional.of(entry);
	}

	private static SettingFault toFault(String file, Finding finding) {
		return new SettingFault(file, finding.key().toString(), "", finding.fault(), finding.remedy());
	}

}
