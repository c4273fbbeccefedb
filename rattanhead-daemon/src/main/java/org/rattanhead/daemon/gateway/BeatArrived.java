package org.rattanhead.daemon.gateway;

import org.rattanhead.core.forward.MemberHeartbeat;

/**
 * Another daemon sent a beat.
 *
 * @param beat the beat
 */
record BeatArrived(MemberHeartbeat beat) implements MeshEvent {
}
