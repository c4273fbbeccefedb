package org.rattanhead.decision.forward;

/**
 * The state of a ticket, the reservation of memory on an instance.
 */
enum TicketState {

	/** The reservation was ordered but not confirmed. */
	REQUESTED,

	/** The instance granted the reservation. */
	GRANTED,

	/** The release was ordered but not confirmed. */
	RELEASING

}
