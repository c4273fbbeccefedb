package org.rattanhead.decision.forward;

/**
 * A reservation and what is due for it.
 *
 * @param ticket the reservation
 * @param state what became of it
 * @param dueNanos when the next order is due, on the monotonic clock
 * @param sinceNanos when the state began, on the monotonic clock
 */
record HeldTicket(Ticket ticket, TicketState state, long dueNanos, long sinceNanos) {

	HeldTicket with(TicketState newState, long newDueNanos) {
		return new HeldTicket(this.ticket, newState, newDueNanos, this.sinceNanos);
	}

}
