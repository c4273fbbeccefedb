package org.rattanhead.decision.forward;

/**
 * Reserves memory, or renews the reservation.
 *
 * @param ticket the reservation
 * @param holdMillis the duration of the reservation, in milliseconds
 */
public record ReserveTicket(Ticket ticket, long holdMillis) implements ForwardCommand {
}
