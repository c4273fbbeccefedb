package org.rattanhead.daemon.gateway;

import org.rattanhead.core.forward.MemberHeartbeat;

/**
 * A heartbeat of another daemon was received.
 *
 * @param beat the heartbeat
 */
record BeatArrived(MemberHeartbeat beat) implements MeshEvent {
}
