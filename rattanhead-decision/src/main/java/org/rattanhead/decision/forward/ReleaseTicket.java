package org.rattanhead.decision.forward;

/**
 * Releases reserved memory.
 *
 * @param ticket the reservation
 */
public record ReleaseTicket(Ticket ticket) implements ForwardCommand {
}
