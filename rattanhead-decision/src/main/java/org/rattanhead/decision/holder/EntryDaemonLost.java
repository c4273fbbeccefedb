package org.rattanhead.decision.holder;

/**
 * The link to an entry daemon was lost. The work it sent is cancelled, since its results
 * can no longer be delivered.
 *
 * @param host the entry daemon
 */
public record EntryDaemonLost(String host) implements HolderEvent {
}
