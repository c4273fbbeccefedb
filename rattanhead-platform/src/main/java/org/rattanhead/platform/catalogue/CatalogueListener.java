package org.rattanhead.platform.catalogue;

/**
 * Hears of every change of the catalogue.
 */
@FunctionalInterface
public interface CatalogueListener {

	/**
	 * Receives the catalogue in force with the new lines of the audit trail.
	 * @param history the catalogue and the new lines only
	 */
	void onChange(CatalogueHistory history);

}
