package org.rattanhead.daemon.gateway;

import org.rattanhead.core.keyed.StreamUpdate;

/**
 * The newest records of a stream are to be sent to a daemon that requested them.
 *
 * @param host the host of that daemon
 * @param snapshot the newest record of each key
 */
record SendSnapshot(String host, StreamUpdate snapshot) implements MeshEvent {
}
