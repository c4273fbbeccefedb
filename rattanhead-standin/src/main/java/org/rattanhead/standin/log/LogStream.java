package org.rattanhead.standin.log;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Deque;
import java.util.List;

import org.rattanhead.core.Payload;

/**
 * The records of one stream, oldest first. Not thread-safe; only the duty of the log
 * service uses it.
 */
final class LogStream {

	private static final int MAX_PAGE_RECORDS = 1_000;

	private final Deque<Payload> records = new ArrayDeque<>();

	private long firstOffset;

	long append(Payload payload, int retainedRecords) {
		this.records.addLast(payload);
		long offset = endOffset() - 1;
		while (this.records.size() > retainedRecords) {
			this.records.removeFirst();
			this.firstOffset++;
		}
		return offset;
	}

	long endOffset() {
		return this.firstOffset + this.records.size();
	}

	PageBody page(long fromOffset) {
		long start = Math.max(fromOffset, this.firstOffset);
		List<RecordBody> page = new ArrayList<>();
		long offset = this.firstOffset;
		for (Payload payload : this.records) {
			if (offset >= start && page.size() < MAX_PAGE_RECORDS) {
				page.add(new RecordBody(offset, Base64.getEncoder().encodeToString(payload.bytes())));
			}
			offset++;
		}
		return new PageBody(this.firstOffset, Math.max(start, this.firstOffset) + page.size(), page);
	}

}
