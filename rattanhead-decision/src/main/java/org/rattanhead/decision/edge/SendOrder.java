package org.rattanhead.decision.edge;

import org.rattanhead.core.work.WorkOrder;

/**
 * Sends an order to a lease holder.
 *
 * @param toHost the lease holder
 * @param order the order
 */
public record SendOrder(String toHost, WorkOrder order) implements EdgeCommand {
}
