package org.rattanhead.decision.forward;

import java.util.List;

/**
 * Publishes the end of work to the other daemons.
 *
 * @param keys the keys of the work
 */
public record PublishLoadEnded(List<String> keys) implements ForwardCommand {
}
