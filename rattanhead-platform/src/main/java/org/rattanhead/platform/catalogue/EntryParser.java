package org.rattanhead.platform.catalogue;

import org.rattanhead.core.catalogue.CatalogueEntry;
import org.rattanhead.settings.SectionReader;

/**
 * Parses the entry of one section.
 */
@FunctionalInterface
interface EntryParser {

	/**
	 * Parses an entry.
	 * @param name the name of the entry
	 * @param section the section with the values
	 * @return the entry
	 */
	CatalogueEntry parse(String name, SectionReader section);

}
