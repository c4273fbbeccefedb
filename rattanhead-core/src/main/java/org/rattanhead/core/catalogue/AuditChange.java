package org.rattanhead.core.catalogue;

import java.util.Optional;

/**
 * A changed entry in the audit trail.
 *
 * @param key the key of the entry
 * @param baseOffset the log offset of the version that the edit is based on
 * @param before the entry before the edit, empty if absent
 * @param after the entry that the edit requests, empty to remove it
 */
public record AuditChange(EntryKey key, long baseOffset, Optional<CatalogueEntry> before,
		Optional<CatalogueEntry> after) {
}
