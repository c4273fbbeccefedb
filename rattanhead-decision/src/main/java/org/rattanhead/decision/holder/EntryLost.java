package org.rattanhead.decision.holder;

/**
 * The link to an entry daemon is lost; nobody waits for the work it sent.
 *
 * @param host the entry daemon
 */
public record EntryLost(String host) implements HolderEvent {
}
