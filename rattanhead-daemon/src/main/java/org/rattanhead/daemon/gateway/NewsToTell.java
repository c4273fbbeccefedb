package org.rattanhead.daemon.gateway;

import org.rattanhead.core.keyed.StreamNews;

/**
 * A stream of the platform was read.
 *
 * @param news what was found
 */
record NewsToTell(StreamNews news) implements MeshEvent {
}
