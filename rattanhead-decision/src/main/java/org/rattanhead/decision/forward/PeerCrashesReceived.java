package org.rattanhead.decision.forward;

import java.util.List;

import org.rattanhead.core.forward.CrashReport;

/**
 * Another daemon sent the crashes and answers of suspects.
 *
 * @param reports the reports
 */
public record PeerCrashesReceived(List<CrashReport> reports) implements ForwardEvent {
}
