package org.rattanhead.decision.forward;

import java.util.List;

import org.rattanhead.core.forward.CrashReport;

/**
 * Sends the other daemons the crashes and answers of suspects before the next heartbeat.
 *
 * @param reports the reports
 */
public record PublishCrashes(List<CrashReport> reports) implements ForwardCommand {
}
