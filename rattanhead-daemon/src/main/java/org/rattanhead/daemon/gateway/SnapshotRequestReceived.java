package org.rattanhead.daemon.gateway;

import org.rattanhead.core.keyed.KeyedStream;

/**
 * Another daemon requested the newest records of a stream.
 *
 * @param host the host of that daemon
 * @param stream the stream
 */
record SnapshotRequestReceived(String host, KeyedStream stream) implements MeshEvent {
}
