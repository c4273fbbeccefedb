package org.rattanhead.decision.forward;

/**
 * What became of an order about reserved memory.
 */
public enum TicketOutcome {

	/** The memory is reserved. */
	GRANTED,

	/** The memory is not reserved. */
	REFUSED,

	/** The memory is free again. */
	RELEASED,

	/**
	 * There was no reply; the order may have been carried out, or be carried out later.
	 */
	UNKNOWN

}
