package org.rattanhead.daemon.gateway;

import org.rattanhead.decision.forward.TellLoadEnded;

/**
 * Work ended.
 *
 * @param command the work
 */
record LoadEndToTell(TellLoadEnded command) implements MeshEvent {
}
