package org.rattanhead.core.catalogue;

import java.util.List;

/**
 * A plain service beside the model engines.
 *
 * @param name the name
 * @param owner who answers for the entry
 * @param nonRepeatablePaths path prefixes whose calls may not be repeated
 */
public record ServiceEntry(String name, String owner, List<String> nonRepeatablePaths) implements CatalogueEntry {

	/**
	 * Copies the list.
	 * @param name the name
	 * @param owner who answers for the entry
	 * @param nonRepeatablePaths path prefixes whose calls may not be repeated
	 */
	public ServiceEntry {
		nonRepeatablePaths = List.copyOf(nonRepeatablePaths);
	}

	/**
	 * Tells whether calls to a path may be repeated.
	 * @param path the path below the service
	 * @return false if the path starts with one of the non-repeatable prefixes
	 */
	public boolean repeatable(String path) {
		return this.nonRepeatablePaths.stream().noneMatch(path::startsWith);
	}

}
