package org.rattanhead.decision.forward;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.rattanhead.core.forward.Configuration;
import org.rattanhead.core.forward.Route;
import org.rattanhead.decision.rank.RankTable;

/**
 * Finds the route of a request by the longest path prefix among the routes of its host.
 */
final class RouteTable {

	private final Map<String, List<Route>> routesByHost = new HashMap<>();

	private final Configuration configuration;

	private final RankTable ranks;

	RouteTable(Configuration configuration) {
		this.configuration = configuration;
		this.ranks = new RankTable(configuration);
		configuration.routes()
			.forEach(
					(route) -> this.routesByHost.computeIfAbsent(route.host(), (host) -> new ArrayList<>()).add(route));
		Comparator<Route> longestFirst = Comparator.comparingInt((Route route) -> -route.pathPrefix().length());
		this.routesByHost.values().forEach((routes) -> routes.sort(longestFirst));
	}

	Configuration configuration() {
		return this.configuration;
	}

	RankTable ranks() {
		return this.ranks;
	}

	Optional<Route> find(String host, String path) {
		return this.routesByHost.getOrDefault(host, List.of())
			.stream()
			.filter((route) -> path.startsWith(route.pathPrefix()))
			.findFirst();
	}

}
