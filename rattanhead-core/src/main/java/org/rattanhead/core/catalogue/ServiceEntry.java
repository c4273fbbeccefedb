package org.rattanhead.core.catalogue;

import java.util.List;

/**
 * A plain HTTP service, as opposed to a model.
 *
 * @param name the name
 * @param owner the party responsible for the entry
 * @param nonRepeatablePaths path prefixes whose calls may not be repeated
 */
public record ServiceEntry(String name, String owner, List<String> nonRepeatablePaths) implements CatalogueEntry {

	/**
	 * Creates an entry with an unmodifiable copy of the path prefixes.
	 * @param name the name
	 * @param owner the party responsible for the entry
	 * @param nonRepeatablePaths path prefixes whose calls may not be repeated
	 */
	public ServiceEntry {
		nonRepeatablePaths = List.copyOf(nonRepeatablePaths);
	}

	/**
	 * Returns whether calls to a path may be repeated.
	 * @param path the path below the service
	 * @return false if the path starts with one of the non-repeatable prefixes
	 */
	public boolean repeatable(String path) {
		return this.nonRepeatablePaths.stream().noneMatch(path::startsWith);
	}

}
