package org.rattanhead.decision.holder;

import org.rattanhead.core.work.WorkSignal;

/**
 * Send the progress or outcome of an attempt to the entry daemon.
 *
 * @param toHost the entry daemon
 * @param signal the signal
 */
public record SendSignal(String toHost, WorkSignal signal) implements HolderCommand {
}
