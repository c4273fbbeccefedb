package org.rattanhead.decision.placement;

import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;

import org.rattanhead.core.catalogue.UpstreamEntry;
import org.rattanhead.core.host.Host;

/**
 * Assigns each upstream to one live daemon: to one in the same failure domain if there is
 * any, otherwise to one in the same region. When a daemon joins or leaves, only the
 * leases that it gains or held move.
 */
public final class LeasePlacement {

	private LeasePlacement() {
	}

	/**
	 * Finds the daemon that holds the lease of an upstream.
	 * @param upstream the upstream
	 * @param members the live daemons
	 * @param sameRegion returns whether a failure domain is in the region of the upstream
	 * @return the daemon, empty if none is in its region
	 */
	public static Optional<Host> holder(UpstreamEntry upstream, List<Host> members, Predicate<String> sameRegion) {
		Optional<Host> sameDomain = Rendezvous.highest(upstream.name(), members,
				(host) -> host.failureDomain().equals(upstream.failureDomain()));
		return sameDomain.isPresent() ? sameDomain
				: Rendezvous.highest(upstream.name(), members, (host) -> sameRegion.test(host.failureDomain()));
	}

}
