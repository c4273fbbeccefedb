package org.rattanhead.decision.forward;

import java.util.List;

import org.rattanhead.core.forward.CrashReport;
import org.rattanhead.core.forward.LimitReport;
import org.rattanhead.core.forward.LoadEntry;

/**
 * A heartbeat of another daemon was received.
 *
 * @param host the host of that daemon
 * @param load all work that it has placed
 * @param crashes the requests that made instances fail there
 * @param limits the limits that instances have named
 */
public record PeerHeartbeatReceived(String host, List<LoadEntry> load, List<CrashReport> crashes,
		List<LimitReport> limits) implements ForwardEvent {
}
