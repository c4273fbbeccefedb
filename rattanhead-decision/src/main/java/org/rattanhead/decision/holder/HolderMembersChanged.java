package org.rattanhead.decision.holder;

import java.util.List;
import java.util.Set;

import org.rattanhead.core.host.Host;

/**
 * Other daemons are live, or other upstreams are leaving.
 *
 * @param members the live daemons, this one included
 * @param leavingUpstreams upstreams that leave
 */
public record HolderMembersChanged(List<Host> members, Set<String> leavingUpstreams) implements HolderEvent {
}
