package org.rattanhead.platform.catalogue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.rattanhead.core.catalogue.AuditRecord;
import org.rattanhead.core.catalogue.Catalogue;
import org.rattanhead.core.catalogue.CatalogueEdit;
import org.rattanhead.decision.catalogue.CatalogueReducer;
import org.rattanhead.decision.catalogue.CatalogueStep;
import org.rattanhead.platform.LogPage;
import org.rattanhead.platform.LogRecord;

/**
 * Applies pages of the catalogue stream. Records that are not edits only advance the
 * offset.
 */
public final class CatalogueReplay {

	private CatalogueReplay() {
	}

	/**
	 * Applies a page.
	 * @param catalogue the catalogue before the page
	 * @param page the page
	 * @return the catalogue after the page, and the audit records of this page only
	 */
	public static CatalogueHistory apply(Catalogue catalogue, LogPage page) {
		List<AuditRecord> audit = new ArrayList<>();
		Catalogue current = catalogue;
		for (LogRecord record : page.records()) {
			if (record.offset() <= current.offset()) {
				continue;
			}
			Optional<CatalogueEdit> edit = CatalogueCodec.decode(record.payload());
			if (edit.isEmpty()) {
				current = current.atOffset(record.offset());
				continue;
			}
			CatalogueStep step = CatalogueReducer.apply(current, record.offset(), edit.get());
			audit.add(step.audit());
			current = step.catalogue();
		}
		return new CatalogueHistory(current, page.nextOffset(), audit);
	}

}
