package org.rattanhead.decision.forward;

/**
 * The daemon will stop. Requests are still accepted if they can be answered before.
 *
 * @param endNanos when it stops, on the monotonic clock
 */
public record ShutdownStarted(long endNanos) implements ForwardEvent {
}
