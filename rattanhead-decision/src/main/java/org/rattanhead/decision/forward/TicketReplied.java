package org.rattanhead.decision.forward;

/**
 * An instance replied to an order, or its reply timed out.
 *
 * @param ticket the reservation
 * @param outcome the outcome
 */
public record TicketReplied(Ticket ticket, TicketOutcome outcome) implements ForwardEvent {
}
