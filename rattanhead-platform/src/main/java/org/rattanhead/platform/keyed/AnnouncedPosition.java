package org.rattanhead.platform.keyed;

import org.rattanhead.core.keyed.StreamPosition;

/**
 * The latest position up to which another daemon knows a stream, while this daemon lacks
 * records before it.
 */
final class AnnouncedPosition {

	private static final StreamPosition NONE = StreamPosition.of(-1);

	private StreamPosition position = NONE;

	private long lastReadNumber;

	/**
	 * Records a position that an update named.
	 * @param newPosition the position
	 * @param readNumber the last read that was started before the update arrived
	 */
	void announce(StreamPosition newPosition, long readNumber) {
		if (!this.position.reaches(newPosition)) {
			this.position = newPosition;
			this.lastReadNumber = readNumber;
		}
	}

	/**
	 * Returns whether records before the announced position are missing.
	 * @param known the position up to which this daemon knows the stream
	 * @return true if they are
	 */
	boolean isAfter(StreamPosition known) {
		return this.position.isAfter(known);
	}

	/**
	 * Returns whether a read only brought what another daemon had announced.
	 * @param from the position up to which this daemon knew the stream
	 * @param next the position up to which it knows it now
	 * @return true if the others have been told of it
	 */
	boolean covers(StreamPosition from, StreamPosition next) {
		return isAfter(from) && this.position.reaches(next);
	}

	/**
	 * Returns how many records before the announced position are missing.
	 * @param known the position up to which this daemon knows the stream
	 * @return the number
	 */
	long countAfter(StreamPosition known) {
		return isAfter(known) ? this.position.offset() - known.offset() : 0;
	}

	/**
	 * Returns whether records before the announced position are missing after a read that
	 * succeeded. A read that was started after the announcement has all that the store
	 * has, so that a peer that names a position beyond its end causes one read.
	 * @param read the read
	 * @param known the position up to which this daemon knows the stream
	 * @return true if another read is needed
	 */
	boolean isMissing(StreamRead read, StreamPosition known) {
		if (read.number() > this.lastReadNumber) {
			this.position = NONE;
		}
		return isAfter(known);
	}

	/**
	 * Returns whether records before the announced position are missing after the newest
	 * records were read, for one more read.
	 * @param known the position up to which this daemon knows the stream
	 * @return true if another read is needed
	 */
	boolean takeMissing(StreamPosition known) {
		boolean missing = isAfter(known);
		this.position = NONE;
		return missing;
	}

}
