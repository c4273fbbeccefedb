package org.rattanhead.core.catalogue;

import java.util.List;

/**
 * An ordered list of changes that an operator publishes atomically: either all take
 * effect or none.
 *
 * @param id a unique id chosen by the author; an edit with a repeated id takes effect
 * once
 * @param author the author of the edit
 * @param atMillis the time of the edit by the author's clock, in milliseconds since the
 * epoch
 * @param reason the reason that the author gave
 * @param changes the changes, in order
 */
public record CatalogueEdit(String id, String author, long atMillis, String reason, List<EntryChange> changes) {

	/**
	 * Creates an edit with an unmodifiable copy of the changes.
	 * @param id a unique id chosen by the author
	 * @param author the author of the edit
	 * @param atMillis the time of the edit, in milliseconds since the epoch
	 * @param reason the reason that the author gave
	 * @param changes the changes
	 */
	public CatalogueEdit {
		changes = List.copyOf(changes);
	}

}
