package org.rattanhead.decision.edge;

import org.rattanhead.core.work.WorkSignal;

/**
 * A lease holder tells what becomes of an attempt.
 *
 * @param fromHost the lease holder
 * @param signal the signal
 */
public record SignalReceived(String fromHost, WorkSignal signal) implements EdgeEvent {
}
