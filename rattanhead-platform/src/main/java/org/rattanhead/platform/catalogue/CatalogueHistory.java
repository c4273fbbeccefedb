package org.rattanhead.platform.catalogue;

import java.util.List;
import java.util.Optional;

import org.rattanhead.core.catalogue.AuditRecord;
import org.rattanhead.core.catalogue.Catalogue;

/**
 * The catalogue with the audit trail that led to it.
 *
 * @param catalogue the catalogue in force
 * @param nextOffset the offset to read on from
 * @param audit the audit trail, oldest first
 */
public record CatalogueHistory(Catalogue catalogue, long nextOffset, List<AuditRecord> audit) {

	/** Nothing read yet. */
	public static final CatalogueHistory EMPTY = new CatalogueHistory(Catalogue.EMPTY, 0, List.of());

	/**
	 * Finds the verdict on an edit. A repeated id takes effect at its first offset.
	 * @param editId the id of the edit
	 * @return its line of the audit trail
	 */
	public Optional<AuditRecord> find(String editId) {
		return this.audit.stream().filter((line) -> line.editId().equals(editId)).findFirst();
	}

}
