package org.rattanhead.decision.membership;

/**
 * Time has passed.
 */
public record MembershipTick() implements MembershipEvent {
}
