package org.rattanhead.daemon;

import org.rattanhead.core.work.WorkOrder;

/**
 * An order to be sent.
 *
 * @param host the lease holder
 * @param order the order
 */
record OrderToPeer(String host, WorkOrder order) implements PeerTask {
}
