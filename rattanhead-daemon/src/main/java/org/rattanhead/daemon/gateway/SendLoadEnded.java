package org.rattanhead.daemon.gateway;

import org.rattanhead.decision.forward.PublishLoadEnded;

/**
 * The end of work is to be sent to other daemons.
 *
 * @param command the ended work
 */
record SendLoadEnded(PublishLoadEnded command) implements MeshEvent {
}
