package org.rattanhead.daemon.gateway;

import org.rattanhead.core.keyed.StreamUpdate;

/**
 * Another daemon read a stream of the platform.
 *
 * @param host its host
 * @param news what it found
 */
record NewsArrived(String host, StreamUpdate news) implements MeshEvent {
}
