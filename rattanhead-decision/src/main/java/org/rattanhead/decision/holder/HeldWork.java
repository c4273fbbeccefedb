package org.rattanhead.decision.holder;

import org.rattanhead.core.request.Work;

/**
 * Work that waits or runs.
 *
 * @param fromHost the entry daemon
 * @param work the work
 * @param sequence the order of arrival
 */
record HeldWork(String fromHost, Work work, long sequence) {
}
