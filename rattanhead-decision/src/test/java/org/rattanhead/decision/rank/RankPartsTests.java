package org.rattanhead.decision.rank;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.rattanhead.core.forward.Configuration;
import org.rattanhead.core.forward.Route;
import org.rattanhead.core.forward.RouteKind;
import org.rattanhead.core.forward.ServiceShare;
import org.rattanhead.core.forward.WorkspaceGrant;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * The rules that depend on the rank of a request. Guards against ranks that take effect
 * in a service that has only one, and against urgencies out of order.
 */
class RankPartsTests {

	@ParameterizedTest(name = "routes \"{0}\", grants \"{1}\", keys required {2}: ranks \"{3}\" in use")
	@CsvSource({ "0 0, -1, true, 0", "0 1 2, -1, true, 0 1 2", "7 7, -1, true, 7", "0 1, 3, true, 3",
			"0 1, 3, false, 0 1 3", "0 1, 3 -1, true, 0 1 3", "5 9, '', false, 5 9", "0 1, '', true, ''" })
	void findsTheRanksInUse(String routeRanks, String grantRanks, boolean keysRequired, String expected) {
		List<Route> routes = numbers(routeRanks).map((rank) -> route(rank, List.of(new ServiceShare("s", 1)))).toList();
		Map<String, WorkspaceGrant> grants = new HashMap<>();
		numbers(grantRanks).forEach((rank) -> grants.put("key" + rank, new WorkspaceGrant("w", rank)));
		RankTable table = new RankTable(new Configuration(1, routes, Map.of(), keysRequired, grants, 1, 1));
		List<Integer> ranks = numbers(expected).toList();
		for (int position = 0; position < ranks.size(); position++) {
			int rank = ranks.get(position);
			assertThat(table.find("s", route(rank, List.of()), Optional.empty()))
				.isEqualTo(new RequestRank(rank, position, ranks.size()));
			assertThat(table.find("s", route(99, List.of()), Optional.of(new WorkspaceGrant("w", rank))).weight())
				.isEqualTo(Math.pow(0.5, position));
		}
		assertThat(table.find("s", routes.get(0), Optional.empty()).active()).isEqualTo(ranks.size() > 1);
	}

	@ParameterizedTest(name = "shares {0} and {1}: service {2} has {3} ranks")
	@CsvSource({ "1, 1, a, 2", "1, 1, b, 2", "1, 0, a, 2", "1, 0, b, 1", "0, 0, a, 2", "0, 0, b, 1", "1, 1, c, 0" })
	void findsTheRanksOfARouteSplitOverServices(int first, int second, String service, int ranks) {
		List<Route> routes = List.of(route(0, List.of(new ServiceShare("a", first), new ServiceShare("b", second))),
				route(4, List.of(new ServiceShare("a", 1))), route(5, List.of(new ServiceShare("b", 1))));
		RankTable table = new RankTable(new Configuration(1, routes, Map.of(), false, Map.of(), 1, 1));
		assertThat(table.find(service, routes.get(0), Optional.empty()).ranks()).isEqualTo(ranks);
	}

	@ParameterizedTest(name = "{0} of {1} ranks, quick {2}, deferred {3}, yielding {4}, waited {5}: {6}")
	@CsvSource({ "0, 1, true, false, true, 0.9, 2", "0, 1, false, false, true, 0.9, 6",
			"0, 1, true, true, true, 0.9, 8", "0, 3, true, false, false, 0, 0", "0, 3, true, true, false, 0, 1",
			"0, 3, false, false, false, 0, 2", "1, 3, true, false, false, 0, 3", "1, 3, true, true, false, 0, 4",
			"1, 3, false, false, false, 0, 5", "2, 3, true, false, false, 0, 6", "2, 3, true, true, false, 0, 7",
			"2, 3, false, false, false, 0, 8", "0, 3, true, false, true, 0, 1", "0, 3, true, true, true, 0, 2",
			"2, 3, false, false, true, 0, 9", "1, 3, true, false, false, 0.4, 1", "1, 3, false, false, false, 0.4, 2",
			"2, 3, false, false, false, 0.4, 5", "2, 3, false, false, false, 0.3, 8", "0, 3, true, true, false, 0.4, 1",
			"0, 3, true, false, false, 0.4, 0", "4, 5, true, true, false, 0, 9", "9, 10, true, true, false, 0, 9",
			"11, 12, true, false, false, 0, 9" })
	void ordersUrgencyByRankThenLengthThenDeferral(int position, int ranks, boolean quick, boolean deferred,
			boolean yielding, double waitedShare, int urgency) {
		RequestRank rank = new RequestRank(position, position, ranks);
		assertThat(UrgencyRule.of(rank).urgency(new EngineRequest(rank, quick, deferred, yielding, waitedShare)))
			.isEqualTo(urgency);
	}

	@ParameterizedTest(name = "position, yielding and deadline {0} before {1}")
	@CsvSource({ "0 true 9, 1 false 2", "1 false 9, 1 true 2", "1 true 2, 1 true 3",
			"1 true 9223372036854775807, 1 true -9223372036854775808" })
	void ordersHeldRequestsByRankThenShareThenDeadline(String first, String second) {
		List<HeldOrder> orders = new ArrayList<>();
		Stream.of(second, first)
			.map((text) -> text.split(" "))
			.forEach((parts) -> orders.add(new HeldOrder(Integer.parseInt(parts[0]), Boolean.parseBoolean(parts[1]),
					Long.parseLong(parts[2]))));
		HeldOrder last = orders.get(0);
		orders.sort(null);
		assertThat(orders).last().isEqualTo(last);
	}

	private static Stream<Integer> numbers(String text) {
		return Stream.of(text.split(" ")).filter((part) -> !part.isEmpty()).map(Integer::valueOf);
	}

	private static Route route(int rank, List<ServiceShare> shares) {
		return new Route("h", "/", RouteKind.STREAM, shares, 1, 1, 1, 1, rank, false, false);
	}

}
