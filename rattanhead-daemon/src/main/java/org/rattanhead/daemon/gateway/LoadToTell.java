package org.rattanhead.daemon.gateway;

import org.rattanhead.decision.forward.TellLoadStarted;

/**
 * Work was placed.
 *
 * @param command the work
 */
record LoadToTell(TellLoadStarted command) implements MeshEvent {
}
