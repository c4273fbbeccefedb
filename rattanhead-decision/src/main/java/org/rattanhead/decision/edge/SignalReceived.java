package org.rattanhead.decision.edge;

import org.rattanhead.core.work.WorkSignal;

/**
 * A lease holder reported the progress or the end of an attempt.
 *
 * @param fromHost the lease holder
 * @param signal the signal
 */
public record SignalReceived(String fromHost, WorkSignal signal) implements EdgeEvent {
}
