package org.rattanhead.daemon.gateway;

import org.rattanhead.core.keyed.KeyedStream;

/**
 * The newest records of a stream are to be requested from other daemons.
 *
 * @param stream the stream
 * @param host the host of the daemon to ask, empty text to choose a few
 */
record RequestSnapshot(KeyedStream stream, String host) implements MeshEvent {
}
