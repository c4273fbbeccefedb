package org.rattanhead.decision.forward;

import org.rattanhead.core.forward.ServerNotice;

/**
 * Another daemon sent what an instance said of itself in an answer to it.
 *
 * @param instance the id of the instance
 * @param incarnation the incarnation that said it
 * @param notice what it said
 */
public record PeerNoticeReceived(String instance, long incarnation, ServerNotice notice) implements ForwardEvent {
}
