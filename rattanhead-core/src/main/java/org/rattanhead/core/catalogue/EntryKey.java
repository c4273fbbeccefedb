package org.rattanhead.core.catalogue;

/**
 * Identifies an entry of the catalogue.
 *
 * @param kind the kind of the entry
 * @param name the name, unique within the kind
 */
public record EntryKey(EntryKind kind, String name) implements Comparable<EntryKey> {

	@Override
	public int compareTo(EntryKey other) {
		int byKind = this.kind.compareTo(other.kind);
		return (byKind != 0) ? byKind : this.name.compareTo(other.name);
	}

	@Override
	public String toString() {
		return this.kind.label() + " " + this.name;
	}

}
