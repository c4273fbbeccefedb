package org.rattanhead.decision.rank;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

import org.rattanhead.core.forward.Configuration;
import org.rattanhead.core.forward.Route;
import org.rattanhead.core.forward.ServiceShare;
import org.rattanhead.core.forward.WorkspaceGrant;

/**
 * The distinct ranks that the routes and grants of a configuration give the requests of
 * each service.
 */
public final class RankTable {

	private final Map<String, TreeSet<Integer>> ranksByService = new HashMap<>();

	/**
	 * Creates the table of a configuration.
	 * @param configuration the configuration
	 */
	public RankTable(Configuration configuration) {
		for (Route route : configuration.routes()) {
			Set<Integer> ranks = ranks(route, configuration);
			services(route.shares()).forEach(
					(service) -> this.ranksByService.computeIfAbsent(service, (name) -> new TreeSet<>()).addAll(ranks));
		}
	}

	/**
	 * Finds the rank of a request among those in use in its service.
	 * @param service the service that runs the request
	 * @param route the route of the request
	 * @param grant the grant of the key of the request, if it has a known one
	 * @return the rank
	 */
	public RequestRank find(String service, Route route, Optional<WorkspaceGrant> grant) {
		int rank = rank(route, grant);
		TreeSet<Integer> ranks = this.ranksByService.getOrDefault(service, new TreeSet<>());
		return new RequestRank(rank, ranks.headSet(rank).size(), ranks.size());
	}

	private static int rank(Route route, Optional<WorkspaceGrant> grant) {
		return grant.map(WorkspaceGrant::rank).filter((rank) -> rank >= 0).orElse(route.rank());
	}

	private static Set<Integer> ranks(Route route, Configuration configuration) {
		Collection<WorkspaceGrant> grants = configuration.grants().values();
		Set<Integer> ranks = new TreeSet<>();
		grants.forEach((grant) -> ranks.add(rank(route, Optional.of(grant))));
		if (route.open() || !configuration.keysRequired()) {
			ranks.add(route.rank());
		}
		return ranks;
	}

	private static List<String> services(List<ServiceShare> shares) {
		List<String> weighted = shares.stream()
			.filter((share) -> share.weight() > 0)
			.map(ServiceShare::service)
			.toList();
		// Without weights, all requests go to the first.
		return weighted.isEmpty() ? shares.stream().limit(1).map(ServiceShare::service).toList() : weighted;
	}

}
