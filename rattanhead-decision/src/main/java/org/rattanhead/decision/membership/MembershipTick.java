package org.rattanhead.decision.membership;

/**
 * Periodic timer event.
 */
public record MembershipTick() implements MembershipEvent {
}
