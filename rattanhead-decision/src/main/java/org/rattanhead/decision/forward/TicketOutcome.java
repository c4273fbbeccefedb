package org.rattanhead.decision.forward;

/**
 * The outcome of a reservation or release order.
 */
public enum TicketOutcome {

	/** The memory is reserved. */
	GRANTED,

	/** The memory is not reserved. */
	REFUSED,

	/** The memory was released. */
	RELEASED,

	/**
	 * No reply was received; the order may have taken effect or may do so later.
	 */
	UNKNOWN

}
