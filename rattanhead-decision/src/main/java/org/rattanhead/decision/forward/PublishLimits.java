package org.rattanhead.decision.forward;

import java.util.List;

import org.rattanhead.core.forward.LimitReport;

/**
 * Sends the other daemons the limits that instances named, or that ended.
 *
 * @param reports the reports
 */
public record PublishLimits(List<LimitReport> reports) implements ForwardCommand {
}
