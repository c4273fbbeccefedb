package org.rattanhead.decision.forward;

/**
 * Gives reserved memory back.
 *
 * @param ticket the reservation
 */
public record ReleaseTicket(Ticket ticket) implements ForwardCommand {
}
