package org.rattanhead.decision.forward;

import java.util.List;

import org.rattanhead.core.forward.LoadEntry;

/**
 * Publishes newly placed work to the other daemons.
 *
 * @param entries the work
 */
public record PublishLoadStarted(List<LoadEntry> entries) implements ForwardCommand {
}
