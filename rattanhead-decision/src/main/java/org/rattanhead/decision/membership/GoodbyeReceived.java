package org.rattanhead.decision.membership;

/**
 * A daemon announced its shutdown.
 *
 * @param host the daemon
 */
public record GoodbyeReceived(String host) implements MembershipEvent {
}
