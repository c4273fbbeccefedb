package org.rattanhead.decision.forward;

/**
 * Nothing was received from another daemon within the timeout; its work counts as ended.
 *
 * @param host the host of that daemon
 */
public record PeerUnresponsive(String host) implements ForwardEvent {
}
