package org.rattanhead.decision.forward;

import java.util.List;

import org.rattanhead.core.forward.LoadEntry;

/**
 * Tells the other daemons of work that was placed.
 *
 * @param entries the work
 */
public record TellLoadStarted(List<LoadEntry> entries) implements ForwardCommand {
}
