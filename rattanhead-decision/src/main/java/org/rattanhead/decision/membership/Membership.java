package org.rattanhead.decision.membership;

import java.util.List;
import java.util.Set;

import org.rattanhead.core.host.Host;

/**
 * What this daemon concludes about the others.
 *
 * @param settled whether it has seen enough to act
 * @param members the daemons that take work, this one included; empty until settled
 * @param peers the daemons to keep links to
 * @param addresses the daemons that callers may use
 * @param leavingUpstreams upstreams that leave
 */
public record Membership(boolean settled, List<Host> members, List<Host> peers, List<Host> addresses,
		Set<String> leavingUpstreams) {

	/** Nothing is known yet. */
	public static final Membership EMPTY = new Membership(false, List.of(), List.of(), List.of(), Set.of());

	/**
	 * Copies the collections.
	 * @param settled whether it has seen enough to act
	 * @param members the daemons that take work
	 * @param peers the daemons to keep links to
	 * @param addresses the daemons that callers may use
	 * @param leavingUpstreams upstreams that leave
	 */
	public Membership {
		members = List.copyOf(members);
		peers = List.copyOf(peers);
		addresses = List.copyOf(addresses);
		leavingUpstreams = Set.copyOf(leavingUpstreams);
	}

}
