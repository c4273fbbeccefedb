package org.rattanhead.decision.membership;

/**
 * An event that may change the membership.
 */
public sealed interface MembershipEvent permits HostListReceived, LinkUp, LinkDown, GoodbyeReceived, MembershipTick {

}
