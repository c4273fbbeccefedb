package org.rattanhead.daemon.gateway;

import org.rattanhead.decision.forward.PublishHeartbeat;

/**
 * A heartbeat is due to be sent to other daemons.
 *
 * @param command the content of the heartbeat
 */
record SendHeartbeat(PublishHeartbeat command) implements MeshEvent {
}
