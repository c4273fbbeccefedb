package org.rattanhead.decision.holder;

import org.rattanhead.core.request.Work;

/**
 * Work that is queued for an upstream or running on it.
 *
 * @param fromHost the entry daemon
 * @param work the work
 * @param sequence its position in the order of arrival
 */
record AcceptedWork(String fromHost, Work work, long sequence) {
}
