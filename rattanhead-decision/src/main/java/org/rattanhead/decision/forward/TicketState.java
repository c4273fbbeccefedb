package org.rattanhead.decision.forward;

/**
 * The state of a reservation.
 */
enum TicketState {

	/** The order was sent. */
	REQUESTED,

	/** The instance granted the reservation. */
	GRANTED,

	/** The release was ordered but not confirmed. */
	RELEASING

}
