package org.rattanhead.decision.forward;

import java.util.List;

import org.rattanhead.core.forward.CrashReport;
import org.rattanhead.core.forward.LoadEntry;

/**
 * Tells the other daemons all work of this one.
 *
 * @param configurationVersion the version in force, 0 if there is none
 * @param load all work that it has placed
 * @param crashes the requests that broke instances lately
 */
public record TellBeat(long configurationVersion, List<LoadEntry> load,
		List<CrashReport> crashes) implements ForwardCommand {
}
