package org.rattanhead.decision.edge;

import org.rattanhead.decision.CatalogueView;

/**
 * A new catalogue is in force.
 *
 * @param view the catalogue
 */
public record EdgeCatalogueChanged(CatalogueView view) implements EdgeEvent {
}
