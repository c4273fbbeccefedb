package org.rattanhead.decision.forward;

/**
 * The state of a reservation.
 */
enum TicketState {

	/** The order was sent. */
	ASKED,

	/** The instance granted the reservation. */
	HELD,

	/** The release was ordered but not confirmed. */
	RELEASING

}
