package org.rattanhead.daemon.gateway;

import org.rattanhead.decision.forward.PublishLoadStarted;

/**
 * Work was placed.
 *
 * @param command the work
 */
record LoadToTell(PublishLoadStarted command) implements MeshEvent {
}
