package org.rattanhead.upstream.forward;

import org.rattanhead.client.HttpCall;
import org.rattanhead.decision.forward.Ticket;

/**
 * Sends an order that reserves memory, renews the reservation or releases it.
 *
 * @param ticket the reservation
 * @param call the encoded order
 * @param release whether the order releases the memory
 */
record UpdateReservation(Ticket ticket, HttpCall call, boolean release) implements ForwardTask {
}
