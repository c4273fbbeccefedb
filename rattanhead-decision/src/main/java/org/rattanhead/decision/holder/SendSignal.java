package org.rattanhead.decision.holder;

import org.rattanhead.core.work.WorkSignal;

/**
 * Tell the entry daemon what becomes of an attempt.
 *
 * @param toHost the entry daemon
 * @param signal the signal
 */
public record SendSignal(String toHost, WorkSignal signal) implements HolderCommand {
}
