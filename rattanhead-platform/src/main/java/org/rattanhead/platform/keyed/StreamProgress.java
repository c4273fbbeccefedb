package org.rattanhead.platform.keyed;

import java.util.List;
import java.util.Optional;

import org.rattanhead.core.keyed.KeyedRecord;
import org.rattanhead.core.problem.RemedyException;

/**
 * How far a stream was read: the pages of newest records until all were read, then the
 * offset of the next change.
 */
final class StreamProgress {

	private static final long NO_OFFSET = -1;

	private final CollectedPages collected = new CollectedPages(RecordBudget.ofHeap());

	private long nextOffset = NO_OFFSET;

	private boolean readingNewest = true;

	/**
	 * Returns whether the newest records have to be read before changes.
	 * @return true until all of them were read or received
	 */
	boolean readingNewest() {
		return this.readingNewest;
	}

	long nextOffset() {
		return this.nextOffset;
	}

	/**
	 * Returns the key after which the next page of newest records starts.
	 * @return the key, empty text for the first page
	 */
	String lastKey() {
		return this.collected.lastKey();
	}

	/**
	 * Adds a page of newest records.
	 * @param page the page
	 * @return the newest record of each key, empty if another page follows
	 * @throws RemedyException if the pages have no end; the first page is read again
	 */
	Optional<List<KeyedRecord>> collect(KeyedPage page) {
		try {
			this.collected.add(page);
		}
		catch (RemedyException ex) {
			this.nextOffset = NO_OFFSET;
			throw ex;
		}
		this.nextOffset = (this.nextOffset == NO_OFFSET) ? page.nextOffset() : this.nextOffset;
		if (page.more()) {
			return Optional.empty();
		}
		this.readingNewest = false;
		return Optional.of(this.collected.take());
	}

	/** Starts again with the newest records. */
	void restart() {
		this.readingNewest = true;
		this.nextOffset = NO_OFFSET;
	}

	/**
	 * Continues with the changes after a snapshot.
	 * @param snapshotOffset the offset of the first change that the snapshot lacks
	 */
	void continueAfter(long snapshotOffset) {
		this.readingNewest = false;
		this.collected.clear();
		this.nextOffset = snapshotOffset;
	}

	void advance(long offset) {
		this.nextOffset = offset;
	}

}
