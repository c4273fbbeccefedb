package org.rattanhead.decision.holder;

import org.rattanhead.core.work.WorkSignal;

/**
 * An upstream answers, or fails to.
 *
 * @param upstream the upstream
 * @param signal what becomes of the attempt
 * @param disrupted whether the upstream itself may have failed: the connection broke,
 * stayed silent or was refused
 */
public record UpstreamSignal(String upstream, WorkSignal signal, boolean disrupted) implements HolderEvent {
}
