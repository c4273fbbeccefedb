package org.rattanhead.decision.catalogue;

import java.util.Optional;

import org.rattanhead.core.catalogue.Catalogue;
import org.rattanhead.core.catalogue.CatalogueEntry;
import org.rattanhead.core.catalogue.Finding;

/**
 * A condition on the entries of one record class.
 *
 * @param <E> the record class
 */
@FunctionalInterface
interface EntryRule<E extends CatalogueEntry> {

	/**
	 * Checks an entry.
	 * @param entry the entry
	 * @param catalogue the catalogue that contains it
	 * @return the violation, empty if there is none
	 */
	Optional<Finding> check(E entry, Catalogue catalogue);

}
