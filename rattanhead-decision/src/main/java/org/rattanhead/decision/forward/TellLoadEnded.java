package org.rattanhead.decision.forward;

import java.util.List;

/**
 * Tells the other daemons of work that ended.
 *
 * @param keys the keys of the work
 */
public record TellLoadEnded(List<String> keys) implements ForwardCommand {
}
