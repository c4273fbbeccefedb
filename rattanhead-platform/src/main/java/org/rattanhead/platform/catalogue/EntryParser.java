package org.rattanhead.platform.catalogue;

import org.rattanhead.core.catalogue.CatalogueEntry;
import org.rattanhead.settings.SectionReader;

/**
 * Reads the entry of one section.
 */
@FunctionalInterface
interface EntryParser {

	/**
	 * Reads an entry.
	 * @param name the name of the entry
	 * @param section the values
	 * @return the entry
	 */
	CatalogueEntry parse(String name, SectionReader section);

}
