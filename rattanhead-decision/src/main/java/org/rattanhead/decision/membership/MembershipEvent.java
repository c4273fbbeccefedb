package org.rattanhead.decision.membership;

/**
 * What membership is decided on.
 */
public sealed interface MembershipEvent permits HostsListed, LinkUp, LinkDown, GoodbyeReceived, MembershipTick {

}
