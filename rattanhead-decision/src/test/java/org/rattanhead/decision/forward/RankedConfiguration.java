package org.rattanhead.decision.forward;

import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.rattanhead.core.forward.Configuration;
import org.rattanhead.core.forward.EngineModel;
import org.rattanhead.core.forward.Route;
import org.rattanhead.core.forward.RouteKind;
import org.rattanhead.core.forward.ServiceLimits;
import org.rattanhead.core.forward.ServiceShare;
import org.rattanhead.core.forward.WorkspaceGrant;

/**
 * Configurations whose routes and grants have ranks, with the engines of the first
 * customer.
 */
final class RankedConfiguration {

	static final EngineModel ENGINE = new EngineModel(8, 197_200, 34, 1.31, 154, 0.162, 1_266);

	static final String LARGE_KEY = "large";

	static final String SMALL_KEY = "small";

	private RankedConfiguration() {
	}

	static Configuration of(int shortRank, int mediumRank, int longRank) {
		List<Route> routes = List.of(route("/short/", 300, 250, shortRank), route("/medium/", 1_500, 600, mediumRank),
				route("/long/", 5_000, 1_000, longRank));
		ServiceLimits service = new ServiceLimits(ForwardRig.ENGINES, 0, Optional.of(ENGINE));
		return new Configuration(1, routes, Map.of(ForwardRig.ENGINES, service), true,
				Map.of(LARGE_KEY, new WorkspaceGrant("large", -1), SMALL_KEY, new WorkspaceGrant("small", -1)), 16_384,
				4_096);
	}

	private static Route route(String prefix, long targetMillis, long gapMillis, int rank) {
		return new Route("host", prefix, RouteKind.STREAM, List.of(new ServiceShare(ForwardRig.ENGINES, 1)), 2, 15_000,
				targetMillis, gapMillis, rank, false, true);
	}

}
