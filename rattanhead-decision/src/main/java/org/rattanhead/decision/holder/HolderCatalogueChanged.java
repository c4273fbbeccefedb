package org.rattanhead.decision.holder;

import org.rattanhead.decision.CatalogueView;

/**
 * Another catalogue is in force.
 *
 * @param view the catalogue
 */
public record HolderCatalogueChanged(CatalogueView view) implements HolderEvent {
}
