package org.rattanhead.decision.forward;

import java.util.List;

/**
 * Work of another daemon ended.
 *
 * @param host the host of that daemon
 * @param keys the keys of the work
 */
public record PeerLoadEnded(String host, List<String> keys) implements ForwardEvent {
}
