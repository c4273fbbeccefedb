package org.rattanhead.daemon.gateway;

import org.rattanhead.decision.forward.PublishLoadStarted;

/**
 * The start of work is to be sent to other daemons.
 *
 * @param command the started work
 */
record SendLoadStarted(PublishLoadStarted command) implements MeshEvent {
}
