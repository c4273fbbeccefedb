package org.rattanhead.daemon.gateway;

import org.rattanhead.core.keyed.StreamUpdate;

/**
 * A stream of the platform was read.
 *
 * @param news what was found
 */
record NewsToTell(StreamUpdate news) implements MeshEvent {
}
