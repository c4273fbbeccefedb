package org.rattanhead.decision.catalogue;

import java.util.stream.Stream;

import org.rattanhead.core.catalogue.Catalogue;
import org.rattanhead.core.catalogue.Finding;

/**
 * A condition that a catalogue must satisfy to be in force.
 */
@FunctionalInterface
public interface CatalogueRule {

	/**
	 * Checks a catalogue.
	 * @param catalogue the catalogue
	 * @return the violations found
	 */
	Stream<Finding> check(Catalogue catalogue);

}
