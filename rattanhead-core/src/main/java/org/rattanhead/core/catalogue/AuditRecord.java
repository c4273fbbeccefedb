package org.rattanhead.core.catalogue;

import java.util.List;

/**
 * A record of the audit trail: an edit, its author, the entries that it changes and the
 * verdict on it.
 *
 * @param offset the log offset of the edit
 * @param editId the id of the edit
 * @param author the author of the edit
 * @param atMillis the time of the edit, in milliseconds since the epoch
 * @param reason the reason that the author gave
 * @param changes the entries before and after
 * @param verdict whether the edit took effect
 */
public record AuditRecord(long offset, String editId, String author, long atMillis, String reason,
		List<AuditChange> changes, EditVerdict verdict) {
}
