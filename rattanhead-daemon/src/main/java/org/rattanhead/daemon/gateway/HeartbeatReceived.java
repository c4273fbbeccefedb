package org.rattanhead.daemon.gateway;

import org.rattanhead.core.forward.MemberHeartbeat;

/**
 * A heartbeat of another daemon was received.
 *
 * @param heartbeat the heartbeat
 */
record HeartbeatReceived(MemberHeartbeat heartbeat) implements MeshEvent {
}
