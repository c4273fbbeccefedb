package org.rattanhead.core.catalogue;

/**
 * An entry with the log offset of the edit that last set it.
 *
 * @param offset the log offset of that edit
 * @param entry the entry
 */
public record VersionedEntry(long offset, CatalogueEntry entry) {
}
