package org.rattanhead.decision.membership;

/**
 * A daemon shuts down.
 *
 * @param host the daemon
 */
public record GoodbyeReceived(String host) implements MembershipEvent {
}
