package org.rattanhead.cli.catalogue;

import java.util.Optional;

import org.rattanhead.core.catalogue.CatalogueEntry;
import org.rattanhead.core.catalogue.EntryKey;
import org.rattanhead.platform.catalogue.CatalogueCodec;

/**
 * Formats entries and changes as text.
 */
final class EntryText {

	private EntryText() {
	}

	static String change(EntryKey key, Optional<CatalogueEntry> before, Optional<CatalogueEntry> after) {
		if (before.isEmpty()) {
			return "+ " + key + " " + after.map(EntryText::entry).orElse("");
		}
		if (after.isEmpty()) {
			return "- " + key + " " + entry(before.get());
		}
		return "~ " + key + System.lineSeparator() + "    before " + entry(before.get()) + System.lineSeparator()
				+ "    after  " + entry(after.get());
	}

	static String entry(CatalogueEntry entry) {
		return CatalogueCodec.encode(entry).toString();
	}

}
