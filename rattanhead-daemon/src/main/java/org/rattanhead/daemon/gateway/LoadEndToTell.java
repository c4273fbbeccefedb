package org.rattanhead.daemon.gateway;

import org.rattanhead.decision.forward.PublishLoadEnded;

/**
 * Work ended.
 *
 * @param command the work
 */
record LoadEndToTell(PublishLoadEnded command) implements MeshEvent {
}
