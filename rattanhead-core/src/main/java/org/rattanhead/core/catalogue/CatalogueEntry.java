package org.rattanhead.core.catalogue;

/**
 * One entry of the catalogue. Every entry has a name that is unique within its kind, and
 * an owner.
 */
public sealed interface CatalogueEntry
		permits ClassEntry, FailureDomainEntry, ModelEntry, ServiceEntry, WorkspaceEntry, UpstreamEntry {

	/**
	 * Returns the name, unique within the kind.
	 * @return the name
	 */
	String name();

	/**
	 * Returns the party responsible for the entry.
	 * @return the owner
	 */
	String owner();

	/**
	 * Returns the kind of the entry.
	 * @return the kind
	 */
	default EntryKind kind() {
		for (EntryKind kind : EntryKind.values()) {
			if (kind.entryType() == getClass()) {
				return kind;
			}
		}
		throw new IllegalStateException("No kind for " + getClass().getName() + "; add it to EntryKind");
	}

	/**
	 * Returns the key of the entry.
	 * @return kind and name
	 */
	default EntryKey key() {
		return new EntryKey(kind(), name());
	}

}
