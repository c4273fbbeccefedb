package org.rattanhead.decision.claim;

import java.util.ArrayList;
import java.util.List;

import org.rattanhead.core.claim.ClaimRecord;

/**
 * Fake of one stream of the log service: ordered, with outages, and able to drop its
 * oldest records.
 */
final class FakeLog {

	private final List<List<ClaimRecord>> records = new ArrayList<>();

	private long firstOffset;

	private boolean down;

	void down(boolean newDown) {
		this.down = newDown;
	}

	boolean isDown() {
		return this.down;
	}

	void append(List<ClaimRecord> batch) {
		this.records.add(batch);
	}

	void dropBefore(long offset) {
		this.firstOffset = Math.max(this.firstOffset, Math.min(offset, endOffset()));
	}

	long endOffset() {
		return this.records.size();
	}

	ClaimsRead read(long fromOffset, int maxBatches) {
		long start = Math.max(fromOffset, this.firstOffset);
		long end = Math.min(endOffset(), start + maxBatches);
		List<LoggedRecord> page = new ArrayList<>();
		for (long offset = start; offset < end; offset++) {
			for (ClaimRecord record : this.records.get((int) offset)) {
				page.add(new LoggedRecord(offset, record));
			}
		}
		return new ClaimsRead(fromOffset, this.firstOffset, end, page);
	}

}
