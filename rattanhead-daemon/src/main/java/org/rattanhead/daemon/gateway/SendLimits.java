package org.rattanhead.daemon.gateway;

import org.rattanhead.decision.forward.PublishLimits;

/**
 * The limits that instances named, or that ended, are to be sent to the other daemons.
 *
 * @param command the reports
 */
record SendLimits(PublishLimits command) implements MeshEvent {
}
