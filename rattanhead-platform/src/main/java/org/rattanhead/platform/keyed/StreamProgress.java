package org.rattanhead.platform.keyed;

import java.util.List;
import java.util.Optional;

import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

import org.rattanhead.core.keyed.KeyedRecord;
import org.rattanhead.core.keyed.KeyedStream;
import org.rattanhead.core.keyed.StreamPosition;
import org.rattanhead.core.problem.RemedyException;

/**
 * How far a stream was read: the pages of newest records until all were read, then the
 * position of the next change.
 */
final class StreamProgress {

	private static final Logger LOGGER = LogManager.getLogger(StreamProgress.class);

	private static final long NO_OFFSET = -1;

	private final CollectedPages collected = new CollectedPages(RecordBudget.ofHeap());

	private final KeyedStream stream;

	private final PositionObserver observer;

	private StreamPosition position = StreamPosition.of(NO_OFFSET);

	private PositionSource source = PositionSource.STORE;

	private boolean readingNewest = true;

	StreamProgress(KeyedStream stream, PositionObserver observer) {
		this.stream = stream;
		this.observer = observer;
	}

	/**
	 * Returns whether the newest records have to be read before changes.
	 * @return true until all of them were read or received
	 */
	boolean readingNewest() {
		return this.readingNewest;
	}

	StreamPosition position() {
		return this.position;
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
			restart();
			throw ex;
		}
		this.position = hasOffset() ? this.position : page.next();
		if (page.more()) {
			return Optional.empty();
		}
		this.readingNewest = false;
		advance(this.position, PositionSource.STORE);
		return Optional.of(this.collected.take());
	}

	/**
	 * Returns whether the next page is the first one of the newest records, which may be
	 * of any later era.
	 * @return true if no page was collected
	 */
	boolean atFirstPage() {
		return this.readingNewest && !hasOffset();
	}

	/** Starts again with the newest records. */
	void restart() {
		this.readingNewest = true;
		this.collected.clear();
		this.position = this.position.withOffset(NO_OFFSET);
	}

	/**
	 * Goes on with the changes after the records that were known before the restart.
	 * @param known the position of the next change
	 */
	void resume(StreamPosition known) {
		this.readingNewest = false;
		this.collected.clear();
		this.position = known;
	}

	/**
	 * Starts again with the newest records of a later era.
	 * @param era the era
	 */
	void restartIn(long era) {
		restart();
		this.position = new StreamPosition(era, NO_OFFSET);
	}

	private boolean hasOffset() {
		return this.position.offset() != NO_OFFSET;
	}

	/**
	 * Continues with the changes after a snapshot.
	 * @param next the position of the first change that the snapshot lacks
	 */
	void continueAfter(StreamPosition next) {
		this.readingNewest = false;
		this.collected.clear();
		advance(next, PositionSource.SNAPSHOT);
	}

	/**
	 * Moves to a position, or confirms the current one.
	 * @param next the position
	 * @param newSource where it came from
	 */
	void advance(StreamPosition next, PositionSource newSource) {
		// The offset alone changes with each heartbeat of an instance.
		boolean notable = this.stream != KeyedStream.INSTANCES || !next.isSameEra(this.position)
				|| newSource != this.source;
		if (!next.equals(this.position) || newSource == PositionSource.SNAPSHOT) {
			LOGGER.log(notable ? Level.INFO : Level.DEBUG, "platform: stream {} is known up to {}, from {}",
					this.stream, next, newSource);
		}
		this.position = next;
		this.source = newSource;
		this.observer.onPosition(this.stream, next, newSource);
	}

}
