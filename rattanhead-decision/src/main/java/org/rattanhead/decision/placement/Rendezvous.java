package org.rattanhead.decision.placement;

import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;

import com.dynatrace.hash4j.hashing.Hashing;

import org.rattanhead.core.host.Host;

/**
 * Rendezvous hashing: assigns a name to the host with the highest weight.
 */
public final class Rendezvous {

	private Rendezvous() {
	}

	/**
	 * Finds the eligible host with the highest weight for a name.
	 * @param name the name
	 * @param hosts the hosts
	 * @param eligible returns whether a host may be chosen
	 * @return the host, empty if none is eligible
	 */
	public static Optional<Host> highest(String name, List<Host> hosts, Predicate<Host> eligible) {
		Host best = null;
		long bestWeight = 0;
		for (Host host : hosts) {
			long weight = weight(name, host.name());
			if (eligible.test(host) && (best == null || Long.compareUnsigned(weight, bestWeight) > 0)) {
				best = host;
				bestWeight = weight;
			}
		}
		return Optional.ofNullable(best);
	}

	private static long weight(String name, String host) {
		return Hashing.komihash5_0().hashStream().putString(name).putString(host).getAsLong();
	}

}
