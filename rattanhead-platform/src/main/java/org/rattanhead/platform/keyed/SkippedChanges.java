package org.rattanhead.platform.keyed;

import java.util.List;
import java.util.Optional;

import org.rattanhead.core.keyed.KeyedRecord;
import org.rattanhead.core.keyed.StreamPosition;

/**
 * Lets a daemon that lacks several large changes read the newest record of each key
 * instead, since what is superseded would delay the newest. Until they have arrived it
 * keeps what it has.
 */
final class SkippedChanges {

	private final StreamProgress progress;

	private final StreamRecords records;

	private Optional<StreamPosition> from = Optional.empty();

	SkippedChanges(StreamProgress progress, StreamRecords records) {
		this.progress = progress;
		this.records = records;
	}

	boolean isSkipping() {
		return this.from.isPresent();
	}

	/**
	 * Lets the next read bring the newest records, if there are large ones.
	 * @param behind whether several changes are missing
	 */
	void skipIf(boolean behind) {
		if (behind && !this.progress.readingNewest() && this.records.hasLarge()) {
			this.from = Optional.of(this.progress.position());
			this.progress.restart();
		}
	}

	/**
	 * Applies the newest records, and sends the other daemons what differs, unless they
	 * know of it.
	 * @param newest the newest record of each key
	 * @param announced up to where another daemon knows the stream
	 */
	void finish(List<KeyedRecord> newest, AnnouncedPosition announced) {
		StreamPosition known = this.from.orElseThrow();
		StreamPosition next = this.progress.position();
		this.records.replaceSkipped(known, next, newest, announced.covers(known, next));
		this.from = Optional.empty();
	}

	/** Returns to the changes, after a read of the newest records has failed. */
	void resume() {
		this.from.ifPresent(this.progress::resume);
		this.from = Optional.empty();
	}

	/** Forgets the earlier position, which means something else in a later era. */
	void cancel() {
		this.from = Optional.empty();
	}

}
