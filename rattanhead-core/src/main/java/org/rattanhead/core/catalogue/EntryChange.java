package org.rattanhead.core.catalogue;

import java.util.Optional;

/**
 * One change within an edit.
 *
 * @param key the entry to change
 * @param baseOffset the offset of the entry as its editor saw it,
 * {@link Catalogue#NO_OFFSET} if absent
 * @param after the entry to put in force, empty to remove it
 */
public record EntryChange(EntryKey key, long baseOffset, Optional<CatalogueEntry> after) {
}
