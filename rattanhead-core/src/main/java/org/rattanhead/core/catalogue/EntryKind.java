package org.rattanhead.core.catalogue;

import java.util.Arrays;
import java.util.Optional;

/**
 * The kinds of catalogue entries, in the order in which references between them resolve.
 */
public enum EntryKind {

	/** A class of service with its priority and default deadline. */
	CLASS("class", ClassEntry.class),

	/** A group of hosts that fail together. */
	FAILURE_DOMAIN("failure-domain", FailureDomainEntry.class),

	/** A model that requests can address. */
	MODEL("model", ModelEntry.class),

	/** A plain HTTP service, as opposed to a model. */
	SERVICE("service", ServiceEntry.class),

	/** A customer with its key and limits. */
	WORKSPACE("workspace", WorkspaceEntry.class),

	/** A back end that serves one model or one plain service. */
	UPSTREAM("upstream", UpstreamEntry.class);

	private final String label;

	private final Class<? extends CatalogueEntry> entryType;

	EntryKind(String label, Class<? extends CatalogueEntry> entryType) {
		this.label = label;
		this.entryType = entryType;
	}

	/**
	 * Returns the name used in catalogue files.
	 * @return the label
	 */
	public String label() {
		return this.label;
	}

	/**
	 * Returns the record class of entries of this kind.
	 * @return the record class
	 */
	public Class<? extends CatalogueEntry> entryType() {
		return this.entryType;
	}

	/**
	 * Finds a kind by its label.
	 * @param label the label
	 * @return the kind, empty if no kind has that label
	 */
	public static Optional<EntryKind> ofLabel(String label) {
		return Arrays.stream(values()).filter((kind) -> kind.label.equals(label)).findFirst();
	}

}
