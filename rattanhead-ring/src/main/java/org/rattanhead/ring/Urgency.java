package org.rattanhead.ring;

/**
 * The share of a ring that an event may use. Events that can be refused leave slots free
 * for events that complete work already accepted.
 */
public enum Urgency {

	/** New work, which can be refused as "not run"; it leaves half of the ring free. */
	NEW_WORK(2),

	/** A part of a response, whose source can be paused; it leaves a quarter free. */
	STREAM(4),

	/** A change of state, which is repeated or corrected later; it may use every slot. */
	CONTROL(0),

	/**
	 * A step of work already accepted that comes once. It is never refused: without a
	 * free slot it waits beside the ring. The work accepted bounds the number of these
	 * events.
	 */
	COMPLETION(0);

	private final int reservedDivisor;

	Urgency(int reservedDivisor) {
		this.reservedDivisor = reservedDivisor;
	}

	/**
	 * Returns the number of slots that events of this urgency must leave free.
	 * @param capacity the number of slots of the ring
	 * @return the number of slots
	 */
	public int reservedSlots(int capacity) {
		return (this.reservedDivisor == 0) ? 0 : capacity / this.reservedDivisor;
	}

}
