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

	/** A model that callers name in their requests. */
	MODEL("model", ModelEntry.class),

	/** A plain service beside the model engines. */
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
	 * Returns the record that carries entries of this kind.
	 * @return the record class
	 */
	public Class<? extends CatalogueEntry> entryType() {
		return this.entryType;
	}

	/**
	 * Finds a kind by its label.
	 * @param label the label
	 * @return the kind, empty if there is none of that label
	 */
	public static Optional<EntryKind> ofLabel(String label) {
		return Arrays.stream(values()).filter((kind) -> kind.label.equals(label)).findFirst();
	}

}
