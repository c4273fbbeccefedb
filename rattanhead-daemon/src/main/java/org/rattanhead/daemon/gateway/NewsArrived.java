package org.rattanhead.daemon.gateway;

import org.rattanhead.core.keyed.StreamUpdate;

/**
 * A stream update read by another daemon was received.
 *
 * @param host the host of that daemon
 * @param news the update
 */
record NewsArrived(String host, StreamUpdate news) implements MeshEvent {
}
