package org.rattanhead.platform.keyed;

import java.util.List;

import org.rattanhead.core.keyed.KeyedRecord;

/**
 * Records that were read.
 *
 * @param records the records, in order
 * @param nextOffset where changes go on
 * @param more whether a further page of newest records follows
 * @param trimmed whether records before these are lost, so that the newest ones are to be
 * read again
 */
public record KeyedPage(List<KeyedRecord> records, long nextOffset, boolean more, boolean trimmed) {

	/**
	 * Returns the key after which the next page goes on.
	 * @return the key, empty text if the page has no records
	 */
	public String lastKey() {
		return this.records.isEmpty() ? "" : this.records.get(this.records.size() - 1).key();
	}

}
