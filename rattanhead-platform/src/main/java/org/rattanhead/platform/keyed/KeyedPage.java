package org.rattanhead.platform.keyed;

import java.util.List;

import org.rattanhead.core.keyed.KeyedRecord;
import org.rattanhead.core.keyed.StreamPosition;

/**
 * A page of records of a stream.
 *
 * @param records the records, in order
 * @param next the position at which the next read of changes starts
 * @param more whether the store has more records: another page of newest records, or
 * further changes
 * @param trimmed whether the store has deleted earlier records that were not read, so
 * that the newest records have to be read again
 */
public record KeyedPage(List<KeyedRecord> records, StreamPosition next, boolean more, boolean trimmed) {

	/**
	 * Returns this page, in a known era if the store named none.
	 * @param known a position of the known era
	 * @return the page
	 */
	KeyedPage withDefaultEra(StreamPosition known) {
		return new KeyedPage(this.records, this.next.withDefaultEra(known), this.more, this.trimmed);
	}

	/**
	 * Returns the key after which the next page starts.
	 * @return the key, empty text if the page has no records
	 */
	public String lastKey() {
		return this.records.isEmpty() ? "" : this.records.get(this.records.size() - 1).key();
	}

}
