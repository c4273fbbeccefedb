package org.rattanhead.daemon.gateway;

import java.util.List;

import org.rattanhead.core.keyed.KeyedRecord;
import org.rattanhead.platform.keyed.RecordWriter;

/**
 * Writes the announcement of this daemon, and again what a restored store has lost.
 */
final class OwnMemberRecords {

	private final Announcement announcement;

	private final RecordWriter writer;

	OwnMemberRecords(Announcement announcement, RecordWriter writer) {
		this.announcement = announcement;
		this.writer = writer;
	}

	/**
	 * Called when the store has come back from an older copy.
	 * @param known the newest record of each key before
	 */
	void onRestored(List<KeyedRecord> known) {
		this.announcement.onRestored();
		this.writer.onRestored(known);
	}

	/**
	 * Called when the newest record of each key was read.
	 * @param stored the records
	 */
	void onNewest(List<KeyedRecord> stored) {
		this.announcement.onNewest(stored);
		this.writer.rewriteLost(stored);
	}

}
