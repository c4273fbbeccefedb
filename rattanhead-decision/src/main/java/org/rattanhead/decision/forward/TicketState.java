package org.rattanhead.decision.forward;

/**
 * What became of a reservation so far.
 */
enum TicketState {

	/** The order was sent. */
	ASKED,

	/** The instance granted it. */
	HELD,

	/** It is being given back. */
	RELEASING

}
