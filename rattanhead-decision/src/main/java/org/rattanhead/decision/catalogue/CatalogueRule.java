package org.rattanhead.decision.catalogue;

import java.util.stream.Stream;

import org.rattanhead.core.catalogue.Catalogue;
import org.rattanhead.core.catalogue.Finding;

/**
 * A condition that every catalogue in force satisfies.
 */
@FunctionalInterface
public interface CatalogueRule {

	/**
	 * Checks a catalogue.
	 * @param catalogue the catalogue
	 * @return the faults found
	 */
	Stream<Finding> check(Catalogue catalogue);

}
