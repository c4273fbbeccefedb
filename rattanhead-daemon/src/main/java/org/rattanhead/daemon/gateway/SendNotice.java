package org.rattanhead.daemon.gateway;

import org.rattanhead.decision.forward.PublishNotice;

/**
 * What an instance said of itself is to be sent to the other daemons.
 *
 * @param command the notice
 */
record SendNotice(PublishNotice command) implements MeshEvent {
}
