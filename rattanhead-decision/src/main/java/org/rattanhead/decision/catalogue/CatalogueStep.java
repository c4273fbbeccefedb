package org.rattanhead.decision.catalogue;

import org.rattanhead.core.catalogue.AuditRecord;
import org.rattanhead.core.catalogue.Catalogue;

/**
 * The result of applying one edit.
 *
 * @param catalogue the catalogue after the edit
 * @param audit the audit record of the edit
 */
public record CatalogueStep(Catalogue catalogue, AuditRecord audit) {
}
