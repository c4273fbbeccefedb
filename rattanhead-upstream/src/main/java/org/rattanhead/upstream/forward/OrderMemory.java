package org.rattanhead.upstream.forward;

import org.rattanhead.client.HttpCall;
import org.rattanhead.decision.forward.Ticket;

/**
 * Sends an order about reserved memory.
 *
 * @param ticket the reservation
 * @param call the order
 * @param release whether it gives the memory back
 */
record OrderMemory(Ticket ticket, HttpCall call, boolean release) implements ForwardTask {
}
