package org.rattanhead.core.keyed;

/**
 * A position in a stream. The store counts offsets anew, from those of an older copy,
 * with each era; offsets of different eras are unrelated.
 *
 * @param era the era of the store, {@link #NO_ERA} if the store or a peer named none
 * @param offset the offset of the next record
 */
public record StreamPosition(long era, long offset) {

	/** The era of stores and peers that name none; each named era is later. */
	public static final long NO_ERA = 0;

	/**
	 * Creates a position without an era.
	 * @param offset the offset of the next record
	 * @return the position
	 */
	public static StreamPosition of(long offset) {
		return new StreamPosition(NO_ERA, offset);
	}

	/**
	 * Returns a position of the same era.
	 * @param otherOffset the offset of its next record
	 * @return the position
	 */
	public StreamPosition withOffset(long otherOffset) {
		return new StreamPosition(this.era, otherOffset);
	}

	/**
	 * Returns a position of another era.
	 * @param otherEra the era
	 * @return the position
	 */
	public StreamPosition withEra(long otherEra) {
		return new StreamPosition(otherEra, this.offset);
	}

	/**
	 * Returns whether the offsets of both positions may be compared.
	 * @param other the other position
	 * @return true if both are of the same era
	 */
	public boolean isSameEra(StreamPosition other) {
		return this.era == other.era;
	}

	/**
	 * Returns whether this position is of a later era, whatever the offsets.
	 * @param other the other position
	 * @return true if it is
	 */
	public boolean isLaterEra(StreamPosition other) {
		return this.era > other.era;
	}

	/**
	 * Returns whether records up to this position include all records up to the other.
	 * @param other the other position
	 * @return true if both are of the same era and this one is not before the other
	 */
	public boolean reaches(StreamPosition other) {
		return isSameEra(other) && this.offset >= other.offset;
	}

	/**
	 * Returns whether records are missing between the other position and this one.
	 * @param other the other position
	 * @return true if both are of the same era and this one is after the other
	 */
	public boolean isAfter(StreamPosition other) {
		return isSameEra(other) && this.offset > other.offset;
	}

	/**
	 * Returns this position, in the era of another one if this one names none.
	 * @param known the other position
	 * @return a position with an era, if either names one
	 */
	public StreamPosition withDefaultEra(StreamPosition known) {
		return (this.era == NO_ERA) ? withEra(known.era) : this;
	}

	@Override
	public String toString() {
		return "offset " + this.offset + " of era " + this.era;
	}

}
