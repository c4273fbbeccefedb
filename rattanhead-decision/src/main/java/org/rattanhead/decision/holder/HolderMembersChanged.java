package org.rattanhead.decision.holder;

import java.util.List;
import java.util.Set;

import org.rattanhead.core.host.Host;

/**
 * The set of live daemons or of leaving upstreams changed.
 *
 * @param members the live daemons, this one included
 * @param leavingUpstreams upstreams that are leaving
 */
public record HolderMembersChanged(List<Host> members, Set<String> leavingUpstreams) implements HolderEvent {
}
