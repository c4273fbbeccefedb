package org.rattanhead.daemon.gateway;

import org.rattanhead.core.keyed.StreamNews;

/**
 * Another daemon read a stream of the platform.
 *
 * @param host its host
 * @param news what it found
 */
record NewsArrived(String host, StreamNews news) implements MeshEvent {
}
