package org.rattanhead.core.catalogue;

import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * The state of the catalogue after a given record of the log.
 *
 * @param offset offset of the last record applied, {@link #NO_OFFSET} before the first
 * @param entries the entries by key
 */
public record Catalogue(long offset, SortedMap<EntryKey, VersionedEntry> entries) {

	/** The offset used where there is no record. */
	public static final long NO_OFFSET = -1;

	/** The catalogue before the first record. */
	public static final Catalogue EMPTY = new Catalogue(NO_OFFSET, new TreeMap<>());

	/**
	 * Creates a catalogue with an unmodifiable copy of the entries.
	 * @param offset offset of the last record applied
	 * @param entries the entries by key
	 */
	public Catalogue {
		entries = Collections.unmodifiableSortedMap(new TreeMap<>(entries));
	}

	/**
	 * Finds an entry.
	 * @param key kind and name
	 * @return the entry, empty if absent
	 */
	public Optional<CatalogueEntry> find(EntryKey key) {
		return Optional.ofNullable(this.entries.get(key)).map(VersionedEntry::entry);
	}

	/**
	 * Returns the offset of the edit that last set an entry.
	 * @param key kind and name
	 * @return the offset, {@link #NO_OFFSET} if the entry is absent
	 */
	public long offsetOf(EntryKey key) {
		VersionedEntry found = this.entries.get(key);
		return (found != null) ? found.offset() : NO_OFFSET;
	}

	/**
	 * Lists the entries of one record class, ordered by name.
	 * @param <E> the record class
	 * @param type the record class
	 * @return the entries
	 */
	public <E extends CatalogueEntry> List<E> list(Class<E> type) {
		return this.entries.values()
			.stream()
			.map(VersionedEntry::entry)
			.filter(type::isInstance)
			.map(type::cast)
			.toList();
	}

	/**
	 * Returns a catalogue with the same entries at another offset.
	 * @param newOffset the new offset
	 * @return the copy
	 */
	public Catalogue atOffset(long newOffset) {
		return new Catalogue(newOffset, this.entries);
	}

}
