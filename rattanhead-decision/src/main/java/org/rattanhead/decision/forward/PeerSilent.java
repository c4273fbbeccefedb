package org.rattanhead.decision.forward;

/**
 * Another daemon has not been heard for too long; its work counts as ended.
 *
 * @param host the host of that daemon
 */
public record PeerSilent(String host) implements ForwardEvent {
}
