package org.rattanhead.decision.catalogue;

import org.rattanhead.core.catalogue.AuditRecord;
import org.rattanhead.core.catalogue.Catalogue;

/**
 * The result of applying one edit.
 *
 * @param catalogue the catalogue afterwards
 * @param audit the line of the audit trail
 */
public record CatalogueStep(Catalogue catalogue, AuditRecord audit) {
}
