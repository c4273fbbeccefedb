package org.rattanhead.platform.keyed;

import java.util.List;

import org.rattanhead.core.keyed.KeyedRecord;

/**
 * Receives what a {@link KeyedFollower} reads, on the thread of its duty.
 */
public interface KeyedListener {

	/**
	 * Called when the store has come back from an older copy, before the newest records
	 * of that copy are read. The writers of lost records write them again.
	 * @param known the newest record of each key that was known before
	 */
	default void onRestored(List<KeyedRecord> known) {
		// What the copy has replaces what was known.
	}

	/**
	 * Called when the newest record of each key was read.
	 * @param records the newest record of each key
	 */
	void onNewest(List<KeyedRecord> records);

	/**
	 * Selects the records that other daemons need. Called with records of a read before
	 * {@link #onChanges(List)}.
	 * @param records the new records, in order
	 * @return those that change the state
	 */
	default List<KeyedRecord> selectRelevant(List<KeyedRecord> records) {
		return records;
	}

	/**
	 * Called after changes were read or received from another daemon.
	 * @param records the new records, in order; empty if nothing changed
	 */
	void onChanges(List<KeyedRecord> records);

	/**
	 * Called when a read failed.
	 */
	void onReadFailed();

}
