package org.rattanhead.decision.catalogue;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

import org.rattanhead.core.catalogue.AuditChange;
import org.rattanhead.core.catalogue.AuditRecord;
import org.rattanhead.core.catalogue.Catalogue;
import org.rattanhead.core.catalogue.CatalogueEdit;
import org.rattanhead.core.catalogue.EditVerdict;
import org.rattanhead.core.catalogue.EntryChange;
import org.rattanhead.core.catalogue.EntryKey;
import org.rattanhead.core.catalogue.Finding;
import org.rattanhead.core.catalogue.VersionedEntry;

/**
 * Applies edits to the catalogue in the order of their offsets. An edit takes effect if
 * every change states the current offset of its entry and the result satisfies the rules;
 * otherwise none of its changes do.
 */
public final class CatalogueReducer {

	private CatalogueReducer() {
	}

	/**
	 * Applies one edit.
	 * @param current the catalogue before the edit
	 * @param offset the log offset of the edit
	 * @param edit the edit
	 * @return the catalogue after the edit and the audit record
	 */
	public static CatalogueStep apply(Catalogue current, long offset, CatalogueEdit edit) {
		Catalogue candidate = candidate(current, offset, edit);
		List<Finding> findings = new ArrayList<>(findStaleChanges(current, edit));
		if (findings.isEmpty()) {
			findings.addAll(CatalogueRules.check(candidate));
		}
		EditVerdict verdict = findings.isEmpty() ? EditVerdict.ACCEPTED : EditVerdict.rejected(findings);
		Catalogue next = verdict.accepted() ? candidate : current.atOffset(offset);
		return new CatalogueStep(next, audit(current, offset, edit, verdict));
	}

	private static List<Finding> findStaleChanges(Catalogue current, CatalogueEdit edit) {
		return edit.changes()
			.stream()
			.filter((change) -> current.offsetOf(change.key()) != change.baseOffset())
			.map((change) -> new Finding(change.key(),
					"the edit is based on offset " + change.baseOffset() + " but the entry is at offset "
							+ current.offsetOf(change.key()),
					"run 'rattanhead diff' to see the newer entry, then publish again"))
			.toList();
	}

	private static Catalogue candidate(Catalogue current, long offset, CatalogueEdit edit) {
		TreeMap<EntryKey, VersionedEntry> entries = new TreeMap<>(current.entries());
		for (EntryChange change : edit.changes()) {
			change.after()
				.ifPresentOrElse((entry) -> entries.put(change.key(), new VersionedEntry(offset, entry)),
						() -> entries.remove(change.key()));
		}
		return new Catalogue(offset, entries);
	}

	private static AuditRecord audit(Catalogue current, long offset, CatalogueEdit edit, EditVerdict verdict) {
		List<AuditChange> changes = edit.changes()
			.stream()
			.map((change) -> new AuditChange(change.key(), change.baseOffset(), current.find(change.key()),
					change.after()))
			.toList();
		return new AuditRecord(offset, edit.id(), edit.author(), edit.atMillis(), edit.reason(), changes, verdict);
	}

}
