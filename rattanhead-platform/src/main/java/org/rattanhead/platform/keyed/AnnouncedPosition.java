package org.rattanhead.platform.keyed;

import org.rattanhead.core.keyed.StreamPosition;

/**
 * The latest position up to which another daemon knows a stream, while this daemon lacks
 * records before it.
 */
final class AnnouncedPosition {

	private StreamPosition position = StreamPosition.of(-1);

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
	 * Returns how many records before the announced position are missing.
	 * @param known the position up to which this daemon knows the stream
	 * @return the number
	 */
	long countAfter(StreamPosition known) {
		return isAfter(known) ? this.position.offset() - known.offset() : 0;
	}

	/**
	 * Returns whether a read that succeeded may have missed records before the announced
	 * position. One that was started after the announcement has what the store has; a
	 * peer that names a position beyond its end causes no further read.
	 * @param read the read
	 * @param known the position up to which this daemon knows the stream
	 * @return true if another read is needed
	 */
	boolean isMissing(StreamRead read, StreamPosition known) {
		return isAfter(known) && read.number() <= this.lastReadNumber;
	}

}
