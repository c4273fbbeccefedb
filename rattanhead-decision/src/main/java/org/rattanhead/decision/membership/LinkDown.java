package org.rattanhead.decision.membership;

/**
 * The link to a daemon was lost.
 *
 * @param host the daemon
 */
public record LinkDown(String host) implements MembershipEvent {
}
