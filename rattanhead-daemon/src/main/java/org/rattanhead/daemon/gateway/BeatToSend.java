package org.rattanhead.daemon.gateway;

import org.rattanhead.decision.forward.TellBeat;

/**
 * A beat is to be sent.
 *
 * @param command what it tells
 */
record BeatToSend(TellBeat command) implements MeshEvent {
}
