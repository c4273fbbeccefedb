package org.rattanhead.decision.membership;

/**
 * The link to a daemon was established.
 *
 * @param host the daemon
 */
public record LinkUp(String host) implements MembershipEvent {
}
