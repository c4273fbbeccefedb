package org.rattanhead.daemon.gateway;

import org.rattanhead.decision.forward.PublishHeartbeat;

/**
 * A beat is to be sent.
 *
 * @param command what it tells
 */
record BeatToSend(PublishHeartbeat command) implements MeshEvent {
}
