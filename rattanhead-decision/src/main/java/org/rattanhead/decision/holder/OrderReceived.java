package org.rattanhead.decision.holder;

import org.rattanhead.core.work.WorkOrder;

/**
 * An entry daemon sent an order.
 *
 * @param fromHost the entry daemon
 * @param order the order
 */
public record OrderReceived(String fromHost, WorkOrder order) implements HolderEvent {
}
