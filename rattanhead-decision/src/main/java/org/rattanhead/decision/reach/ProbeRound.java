package org.rattanhead.decision.reach;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.rattanhead.core.forward.UpstreamInstance;

/**
 * Probes of several instances at the same time.
 */
final class ProbeRound {

	private final Set<String> awaited = new HashSet<>();

	private final long startNanos;

	ProbeRound(List<UpstreamInstance> instances, long startNanos) {
		instances.forEach((instance) -> this.awaited.add(instance.id()));
		this.startNanos = startNanos;
	}

	long startNanos() {
		return this.startNanos;
	}

	/**
	 * Records that an instance did not answer.
	 * @param instance the id of the instance
	 * @return true if no other answer is awaited
	 */
	boolean failed(String instance) {
		return this.awaited.remove(instance) && this.awaited.isEmpty();
	}

}
