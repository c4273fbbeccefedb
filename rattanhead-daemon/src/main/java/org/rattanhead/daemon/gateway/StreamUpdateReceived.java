package org.rattanhead.daemon.gateway;

import org.rattanhead.core.keyed.StreamUpdate;

/**
 * A stream update read by another daemon was received.
 *
 * @param host the host of that daemon
 * @param update the update
 */
record StreamUpdateReceived(String host, StreamUpdate update) implements MeshEvent {
}
