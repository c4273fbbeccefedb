package org.rattanhead.decision.forward;

import org.rattanhead.core.request.AttemptId;

/**
 * Memory reserved on an instance for one attempt.
 *
 * @param name the name of the reservation, unique across daemons
 * @param attempt the attempt that uses it
 * @param instance the id of the instance
 * @param address the address of the instance
 * @param tokens the memory, in tokens
 */
public record Ticket(String name, AttemptId attempt, String instance, String address, long tokens) {
}
