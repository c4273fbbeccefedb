package org.rattanhead.decision.forward;

import java.util.List;

/**
 * Reacts to an address at which another instance answers. Instances of a failure domain
 * are often restarted together, and their new entries arrive up to 2 s later, so a
 * request that tries one after the other uses up its attempts.
 */
final class ReplacedInstances {

	private ReplacedInstances() {
	}

	/**
	 * Sends a request to another failure domain, if an instance there accepts work.
	 * @param forwarding the request
	 * @param replaced the instance that is no longer at its address
	 * @param fleet the instances
	 * @param nowNanos the time on the monotonic clock
	 */
	static void leaveDomain(Forwarding forwarding, InstanceLoad replaced, UpstreamFleet fleet, long nowNanos) {
		String domain = replaced.instance().failureDomain();
		List<InstanceLoad> accepting = fleet.accepting(forwarding.service(), nowNanos);
		boolean otherDomain = accepting.stream()
			.anyMatch((load) -> !load.instance().failureDomain().equals(domain)
					&& !forwarding.excluded().contains(load.instance().id()));
		if (otherDomain) {
			accepting.stream()
				.map(InstanceLoad::instance)
				.filter((instance) -> instance.failureDomain().equals(domain))
				.forEach((instance) -> forwarding.exclude(instance.id()));
		}
	}

}
