package org.rattanhead.core.catalogue;

/**
 * An entry with the log offset of the edit that put it in force.
 *
 * @param offset the log offset of that edit
 * @param entry the entry
 */
public record VersionedEntry(long offset, CatalogueEntry entry) {
}
