package org.rattanhead.decision.reach;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.random.RandomGenerator;

import org.rattanhead.core.forward.UpstreamInstance;

/**
 * Selects the instances to probe: from as many failure domains and services as possible,
 * since one of these may be out of reach or down by itself.
 */
final class ProbeSelection {

	private ProbeSelection() {
	}

	static List<UpstreamInstance> select(List<UpstreamInstance> instances, int count, RandomGenerator random) {
		List<UpstreamInstance> remaining = new ArrayList<>(instances);
		Collections.shuffle(remaining, new Random(random.nextLong()));
		List<UpstreamInstance> selected = new ArrayList<>();
		Set<String> domains = new HashSet<>();
		Set<String> services = new HashSet<>();
		while (selected.size() < count && !remaining.isEmpty()) {
			UpstreamInstance next = Collections.max(remaining, (left, right) -> Integer
				.compare(newGroups(left, domains, services), newGroups(right, domains, services)));
			remaining.remove(next);
			selected.add(next);
			domains.add(next.failureDomain());
			services.add(next.service());
		}
		return selected;
	}

	private static int newGroups(UpstreamInstance instance, Set<String> domains, Set<String> services) {
		return (domains.contains(instance.failureDomain()) ? 0 : 1) + (services.contains(instance.service()) ? 0 : 1);
	}

}
