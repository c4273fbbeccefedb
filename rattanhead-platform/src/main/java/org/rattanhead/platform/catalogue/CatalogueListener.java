package org.rattanhead.platform.catalogue;

/**
 * Receives every change of the catalogue.
 */
@FunctionalInterface
public interface CatalogueListener {

	/**
	 * Called when the catalogue changes.
	 * @param history the catalogue in force and only the new audit records
	 */
	void onChange(CatalogueHistory history);

}
