package org.rattanhead.daemon.gateway;

import org.rattanhead.core.keyed.StreamUpdate;

/**
 * Another daemon sent the newest records of a stream.
 *
 * @param snapshot the newest record of each key
 */
record SnapshotReceived(StreamUpdate snapshot) implements MeshEvent {
}
