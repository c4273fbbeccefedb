package org.rattanhead.decision.holder;

import org.rattanhead.decision.CatalogueView;

/**
 * A new catalogue is in force.
 *
 * @param view the catalogue
 */
public record HolderCatalogueChanged(CatalogueView view) implements HolderEvent {
}
