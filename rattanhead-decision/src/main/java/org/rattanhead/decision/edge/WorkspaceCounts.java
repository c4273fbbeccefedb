package org.rattanhead.decision.edge;

import java.util.HashMap;
import java.util.Map;

/**
 * The number of requests in flight by workspace. Owned by one duty.
 */
final class WorkspaceCounts {

	private final Map<String, Integer> counts = new HashMap<>();

	int of(String workspace) {
		return this.counts.getOrDefault(workspace, 0);
	}

	void increment(String workspace) {
		this.counts.merge(workspace, 1, Integer::sum);
	}

	void decrement(String workspace) {
		this.counts.computeIfPresent(workspace, (name, count) -> (count > 1) ? count - 1 : null);
	}

}
