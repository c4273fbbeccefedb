package org.rattanhead.decision.catalogue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeSet;

import org.rattanhead.core.catalogue.Catalogue;
import org.rattanhead.core.catalogue.CatalogueEntry;
import org.rattanhead.core.catalogue.EntryChange;
import org.rattanhead.core.catalogue.EntryKey;

/**
 * Compares the catalogue in force with a desired one.
 */
public final class CatalogueDiff {

	private CatalogueDiff() {
	}

	/**
	 * Lists the changes that turn one catalogue into another.
	 * @param inForce the catalogue in force
	 * @param desired the desired catalogue; its offsets are ignored
	 * @return the changes, by kind and name
	 */
	public static List<EntryChange> changes(Catalogue inForce, Catalogue desired) {
		TreeSet<EntryKey> keys = new TreeSet<>(inForce.entries().keySet());
		keys.addAll(desired.entries().keySet());
		List<EntryChange> changes = new ArrayList<>();
		for (EntryKey key : keys) {
			Optional<CatalogueEntry> desiredEntry = desired.find(key);
			if (!desiredEntry.equals(inForce.find(key))) {
				changes.add(new EntryChange(key, inForce.offsetOf(key), desiredEntry));
			}
		}
		return changes;
	}

}
