package org.rattanhead.decision.forward;

/**
 * A reservation with its state and the time of its next order.
 *
 * @param ticket the reservation
 * @param state the state of the reservation
 * @param dueNanos when the next order is due, on the monotonic clock
 * @param sinceNanos when the state began, on the monotonic clock
 */
record TrackedTicket(Ticket ticket, TicketState state, long dueNanos, long sinceNanos) {

	TrackedTicket with(TicketState newState, long newDueNanos) {
		return new TrackedTicket(this.ticket, newState, newDueNanos, this.sinceNanos);
	}

}
