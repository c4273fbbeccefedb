package org.rattanhead.decision.forward;

import org.rattanhead.core.forward.ServerNotice;

/**
 * Sends the other daemons what an instance said of itself.
 *
 * @param instance the id of the instance
 * @param incarnation the incarnation that said it
 * @param notice what it said
 */
public record PublishNotice(String instance, long incarnation, ServerNotice notice) implements ForwardCommand {
}
