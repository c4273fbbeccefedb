package org.rattanhead.decision.membership;

/**
 * The link to a daemon is up.
 *
 * @param host the daemon
 */
public record LinkUp(String host) implements MembershipEvent {
}
