package org.rattanhead.decision.placement;

import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;

import com.dynatrace.hash4j.hashing.Hashing;

import org.rattanhead.core.catalogue.UpstreamEntry;
import org.rattanhead.core.host.Host;

/**
 * Assigns each upstream to one live daemon by rendezvous hashing: daemons of the same
 * failure domain first, then of the same region. A change of one member moves only the
 * upstreams that it held or gains.
 */
public final class LeasePlacement {

	private LeasePlacement() {
	}

	/**
	 * Finds the daemon that holds the lease of an upstream.
	 * @param upstream the upstream
	 * @param members the live daemons
	 * @param sameRegion tells whether a failure domain is in the region of the upstream
	 * @return the daemon, empty if none is in its region
	 */
	public static Optional<Host> holder(UpstreamEntry upstream, List<Host> members, Predicate<String> sameRegion) {
		Optional<Host> near = highest(upstream.name(), members,
				(host) -> host.failureDomain().equals(upstream.failureDomain()));
		return near.isPresent() ? near
				: highest(upstream.name(), members, (host) -> sameRegion.test(host.failureDomain()));
	}

	private static Optional<Host> highest(String upstream, List<Host> members, Predicate<Host> eligible) {
		Host best = null;
		long bestWeight = 0;
		for (Host host : members) {
			long weight = weight(upstream, host.name());
			if (eligible.test(host) && (best == null || Long.compareUnsigned(weight, bestWeight) > 0)) {
				best = host;
				bestWeight = weight;
			}
		}
		return Optional.ofNullable(best);
	}

	private static long weight(String upstream, String host) {
		return Hashing.komihash5_0().hashStream().putString(upstream).putString(host).getAsLong();
	}

}
