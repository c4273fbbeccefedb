package org.rattanhead.decision.membership;

import org.rattanhead.core.host.HostList;

/**
 * The host list arrived.
 *
 * @param list the list
 */
public record HostsListed(HostList list) implements MembershipEvent {
}
