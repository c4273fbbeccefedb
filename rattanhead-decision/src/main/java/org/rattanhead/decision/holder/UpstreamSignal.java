package org.rattanhead.decision.holder;

import org.rattanhead.core.work.WorkSignal;

/**
 * An upstream responded to an attempt, or the attempt failed.
 *
 * @param upstream the upstream
 * @param signal the progress or outcome of the attempt
 * @param disrupted whether the upstream itself may have failed: the connection broke,
 * timed out or was refused
 */
public record UpstreamSignal(String upstream, WorkSignal signal, boolean disrupted) implements HolderEvent {
}
