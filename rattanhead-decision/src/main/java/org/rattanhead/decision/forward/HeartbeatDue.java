package org.rattanhead.decision.forward;

/**
 * It is time to publish a heartbeat with all work of this daemon.
 */
public record HeartbeatDue() implements ForwardEvent {
}
