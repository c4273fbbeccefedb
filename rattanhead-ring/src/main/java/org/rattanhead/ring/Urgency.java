package org.rattanhead.ring;

/**
 * How much of a ring an event may fill. Work that can be refused leaves room for work
 * that must end.
 */
public enum Urgency {

	/** New work, which can be refused as "not run". */
	NEW_WORK(2),

	/** A part of an answer, whose source can be paused. */
	STREAM(4),

	/** The end of something, or a change of state; it may use the whole ring. */
	CONTROL(0);

	private final int reservedDivisor;

	Urgency(int reservedDivisor) {
		this.reservedDivisor = reservedDivisor;
	}

	/**
	 * Returns the slots that events of this urgency must leave free.
	 * @param capacity the slots of the ring
	 * @return the number of slots
	 */
	public int reservedSlots(int capacity) {
		return (this.reservedDivisor == 0) ? 0 : capacity / this.reservedDivisor;
	}

}
