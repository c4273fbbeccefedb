package org.rattanhead.core.catalogue;

import java.util.List;

/**
 * A set of changes that an operator publishes together. Either all take effect or none.
 *
 * @param id chosen by the editor, unique; a repeated id takes effect once
 * @param author who published it
 * @param atMillis when, by the author's clock, in milliseconds since the epoch
 * @param reason why, in the author's words
 * @param changes the changes, in order
 */
public record CatalogueEdit(String id, String author, long atMillis, String reason, List<EntryChange> changes) {

	/**
	 * Copies the changes.
	 * @param id chosen by the editor
	 * @param author who published it
	 * @param atMillis when, in milliseconds since the epoch
	 * @param reason why
	 * @param changes the changes
	 */
	public CatalogueEdit {
		changes = List.copyOf(changes);
	}

}
