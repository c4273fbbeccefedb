package org.rattanhead.core.catalogue;

import java.util.List;

/**
 * One line of the audit trail: who changed what, when, from which base, and with which
 * verdict.
 *
 * @param offset the log offset of the edit
 * @param editId the id of the edit
 * @param author who published it
 * @param atMillis when, in milliseconds since the epoch
 * @param reason why
 * @param changes the entries before and after
 * @param verdict whether it took effect
 */
public record AuditRecord(long offset, String editId, String author, long atMillis, String reason,
		List<AuditChange> changes, EditVerdict verdict) {
}
