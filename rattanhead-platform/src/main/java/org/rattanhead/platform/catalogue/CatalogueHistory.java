package org.rattanhead.platform.catalogue;

import java.util.List;
import java.util.Optional;

import org.rattanhead.core.catalogue.AuditRecord;
import org.rattanhead.core.catalogue.Catalogue;

/**
 * The catalogue and the audit trail of the edits that produced it.
 *
 * @param catalogue the catalogue in force
 * @param nextOffset the offset at which the next read starts
 * @param audit the audit trail, oldest first
 */
public record CatalogueHistory(Catalogue catalogue, long nextOffset, List<AuditRecord> audit) {

	/** The state before the first read. */
	public static final CatalogueHistory EMPTY = new CatalogueHistory(Catalogue.EMPTY, 0, List.of());

	/**
	 * Finds the audit record of an edit. Of several edits with the same id only the first
	 * takes effect.
	 * @param editId the id of the edit
	 * @return the audit record, empty if the stream does not contain the edit
	 */
	public Optional<AuditRecord> find(String editId) {
		return this.audit.stream().filter((record) -> record.editId().equals(editId)).findFirst();
	}

}
