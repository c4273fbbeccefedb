package org.rattanhead.decision.forward;

/**
 * The other daemons are to be told all work of this one.
 */
public record BeatDue() implements ForwardEvent {
}
