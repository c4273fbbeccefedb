package org.rattanhead.daemon.gateway;

import org.rattanhead.core.keyed.StreamUpdate;

/**
 * An update read from a stream of the platform is to be sent to other daemons.
 *
 * @param update the update
 */
record SendStreamUpdate(StreamUpdate update) implements MeshEvent {
}
