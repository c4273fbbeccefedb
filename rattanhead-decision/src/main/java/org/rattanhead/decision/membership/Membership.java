package org.rattanhead.decision.membership;

import java.util.List;
import java.util.Set;

import org.rattanhead.core.host.Host;

/**
 * The daemons and leaving upstreams as determined by this daemon.
 *
 * @param settled whether the settling after the start is complete
 * @param members the daemons that accept work, this one included; empty until settled
 * @param peers the daemons to keep links to
 * @param addresses the daemons that callers may use
 * @param leavingUpstreams upstreams that are leaving
 */
public record Membership(boolean settled, List<Host> members, List<Host> peers, List<Host> addresses,
		Set<String> leavingUpstreams) {

	/** The membership before the first host list. */
	public static final Membership EMPTY = new Membership(false, List.of(), List.of(), List.of(), Set.of());

	/**
	 * Copies the collections.
	 * @param settled whether the settling after the start is complete
	 * @param members the daemons that accept work
	 * @param peers the daemons to keep links to
	 * @param addresses the daemons that callers may use
	 * @param leavingUpstreams upstreams that are leaving
	 */
	public Membership {
		members = List.copyOf(members);
		peers = List.copyOf(peers);
		addresses = List.copyOf(addresses);
		leavingUpstreams = Set.copyOf(leavingUpstreams);
	}

}
