package org.rattanhead.decision.forward;

import java.util.List;
import java.util.OptionalLong;

import org.rattanhead.core.forward.CrashReport;
import org.rattanhead.core.forward.LimitReport;
import org.rattanhead.core.forward.LoadEntry;

/**
 * Publishes a heartbeat with all work of this daemon to the other daemons.
 *
 * @param configurationVersion the configuration version in force, 0 if there is none
 * @param load all work that it has placed
 * @param crashes the requests that recently made instances fail
 * @param limits the limits that instances have named
 * @param contactAgeMillis the time since an instance last answered this daemon, in
 * milliseconds; empty if none has
 */
public record PublishHeartbeat(long configurationVersion, List<LoadEntry> load, List<CrashReport> crashes,
		List<LimitReport> limits, OptionalLong contactAgeMillis) implements ForwardCommand {
}
