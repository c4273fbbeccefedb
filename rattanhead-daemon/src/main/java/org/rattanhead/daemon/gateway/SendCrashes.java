package org.rattanhead.daemon.gateway;

import org.rattanhead.decision.forward.PublishCrashes;

/**
 * The crashes and answers of suspects are to be sent to the other daemons.
 *
 * @param command the reports
 */
record SendCrashes(PublishCrashes command) implements MeshEvent {
}
