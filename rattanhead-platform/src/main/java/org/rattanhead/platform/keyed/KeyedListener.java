package org.rattanhead.platform.keyed;

import java.util.List;

import org.rattanhead.core.keyed.KeyedRecord;

/**
 * Hears what a {@link KeyedFollower} reads, on the thread of its duty.
 */
public interface KeyedListener {

	/**
	 * All keys were read.
	 * @param records the newest record of each key
	 */
	void onNewest(List<KeyedRecord> records);

	/**
	 * Records were added.
	 * @param records the records, in order; empty if nothing changed
	 */
	void onChanges(List<KeyedRecord> records);

	/**
	 * A read failed.
	 */
	void onLost();

}
