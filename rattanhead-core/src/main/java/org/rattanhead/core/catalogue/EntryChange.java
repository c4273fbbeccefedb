package org.rattanhead.core.catalogue;

import java.util.Optional;

/**
 * One change within an edit.
 *
 * @param key the key of the entry to change
 * @param baseOffset the log offset of the version that the edit is based on,
 * {@link Catalogue#NO_OFFSET} if absent
 * @param after the new entry, empty to remove the entry
 */
public record EntryChange(EntryKey key, long baseOffset, Optional<CatalogueEntry> after) {
}
