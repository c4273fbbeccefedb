package org.rattanhead.decision.forward;

import java.util.List;

import org.rattanhead.core.forward.LimitReport;

/**
 * Another daemon sent the limits that instances named, or that ended.
 *
 * @param reports the reports
 */
public record PeerLimitsReceived(List<LimitReport> reports) implements ForwardEvent {
}
