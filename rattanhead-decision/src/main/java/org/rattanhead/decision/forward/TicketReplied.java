package org.rattanhead.decision.forward;

/**
 * An instance replied to a reservation, or did not.
 *
 * @param ticket the reservation
 * @param outcome what it replied
 */
public record TicketReplied(Ticket ticket, TicketOutcome outcome) implements ForwardEvent {
}
