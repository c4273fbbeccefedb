package org.rattanhead.daemon.gateway;

import org.rattanhead.core.forward.MemberBeat;

/**
 * Another daemon sent a beat.
 *
 * @param beat the beat
 */
record BeatArrived(MemberBeat beat) implements MeshEvent {
}
