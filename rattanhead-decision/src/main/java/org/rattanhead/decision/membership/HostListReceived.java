package org.rattanhead.decision.membership;

import org.rattanhead.core.host.HostList;

/**
 * The host list was received from the platform.
 *
 * @param list the list
 */
public record HostListReceived(HostList list) implements MembershipEvent {
}
