package org.rattanhead.decision.forward;

import java.util.List;

import org.rattanhead.core.forward.LoadEntry;

/**
 * Another daemon placed work.
 *
 * @param host the host of that daemon
 * @param entries the work
 */
public record PeerLoadStarted(String host, List<LoadEntry> entries) implements ForwardEvent {
}
