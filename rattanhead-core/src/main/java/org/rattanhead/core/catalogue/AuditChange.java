package org.rattanhead.core.catalogue;

import java.util.Optional;

/**
 * One changed entry in the audit trail.
 *
 * @param key the entry
 * @param baseOffset the offset the editor had seen
 * @param before the entry before the edit
 * @param after the entry the edit asked for
 */
public record AuditChange(EntryKey key, long baseOffset, Optional<CatalogueEntry> before,
		Optional<CatalogueEntry> after) {
}
