package org.rattanhead.decision.forward;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

import org.rattanhead.core.Millis;
import org.rattanhead.core.Payload;
import org.rattanhead.core.forward.Configuration;
import org.rattanhead.core.forward.LoadEntry;
import org.rattanhead.core.forward.Route;
import org.rattanhead.core.forward.RouteKind;
import org.rattanhead.core.forward.ServiceLimits;
import org.rattanhead.core.forward.UpstreamInstance;
import org.rattanhead.decision.limit.FleetShare;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Unit tests of the parts behind the forwarding decisions.
 */
class ForwardPartsTests {

	@ParameterizedTest(name = "{0}{1} -> {2}")
	@CsvSource({ "h, /a/b/c, /a/b/", "h, /a/c, /a/", "h, /ab, ''", "h, /x, ''", "g, /a/b/c, ''", "h, /a/b, /a/" })
	void routesByLongestPrefixOfHost(String host, String path, String prefix) {
		List<Route> routes = Stream.of("/a/", "/a/b/", "/b/")
			.map((text) -> new Route("h", text, RouteKind.STREAM, List.of(), 1, 1, 1, 1, 1, false, false))
			.toList();
		RouteTable table = new RouteTable(new Configuration(1, routes, Map.of(), false, Map.of(), 1, 1));
		assertThat(table.find(host, path).map(Route::pathPrefix).orElse("")).isEqualTo(prefix);
	}

	@ParameterizedTest(name = "{0} requests, {1} daemons, worth {2}: {3} retries")
	@CsvSource({ "0, 1, 1.4, 70", "100, 1, 1.4, 84", "0, 10, 1.4, 7", "50, 10, 1.4, 14", "0, 1, 20, 90",
			"100, 1, 20, 108", "0, 10, 20, 9", "50, 10, 20, 18" })
	void boundsRetriesByRequestsDaemonsAndWorth(int requests, int daemons, double worth, int allowed) {
		RetryBudget budget = new RetryBudget(new ForwardLimits(0.2, 100, 10_000, 1));
		budget.daemons(daemons);
		for (int request = 0; request < requests; request++) {
			budget.request("s", 0);
		}
		int retries = 0;
		while (budget.allows("s", worth, 0)) {
			budget.retry("s", 0);
			retries++;
		}
		assertThat(retries).isEqualTo(allowed);
		assertThat(budget.allows("s", worth, Millis.toNanos(10_001))).as("retry in a new window").isTrue();
	}

	@ParameterizedTest(name = "{0} daemons")
	@ValueSource(ints = { 1, 8, 16 })
	void keepsRetriesForLongPromptsWhenShortOnesUseTheirShare(int daemons) {
		RetryBudget budget = new RetryBudget(new ForwardLimits(0.2, 100, 10_000, 1));
		budget.daemons(daemons);
		while (budget.allows("s", 1.4, 0)) {
			budget.retry("s", 0);
		}
		assertThat(budget.allows("s", 24, 0)).isTrue();
	}

	static Stream<Arguments> streams() {
		return Stream.of(Arguments.of(List.of("id: 1\ndata: a\n\n"), "id: 1\ndata: a\n\n", "1", false),
				Arguments.of(List.of("id: 1\nda", "ta: a\n", "\n"), "id: 1\ndata: a\n\n", "1", false),
				Arguments.of(List.of("id: 1\n\nid: 2\n\nid: 3"), "id: 1\n\nid: 2\n\n", "2", true),
				Arguments.of(List.of("id: 1\r\n\r\n", "id: 2\r\n"), "id: 1\r\n\r\n", "1", true),
				Arguments.of(List.of("data: x"), "", "", true), Arguments.of(List.of(), "", "", false));
	}

	@ParameterizedTest(name = "{0}")
	@MethodSource("streams")
	void passesOnCompleteEventsOnly(List<String> parts, String passed, String lastId, boolean insideEvent) {
		EventSplitter splitter = new EventSplitter();
		StringBuilder events = new StringBuilder();
		parts.forEach((part) -> splitter.feed(Payload.of(part)).map(Payload::text).ifPresent(events::append));
		assertThat(events).hasToString(passed);
		assertThat(splitter.lastId().orElse("")).isEqualTo(lastId);
		assertThat(splitter.insideEvent()).isEqualTo(insideEvent);
	}

	@ParameterizedTest(
			name = "{0} daemons that do not hear each other, cold for {1} ms: at most {2} of 100 in one second")
	@CsvSource({ "1, 3000, 12", "4, 3000, 3", "100, 3000, 1", "1, 0, 100" })
	void sharesColdLimitAmongDaemons(int daemons, long coldMillis, int sent) {
		UpstreamFleet fleet = new UpstreamFleet();
		ServiceLimits limits = new ServiceLimits("s", 12, Optional.empty());
		fleet.turns().configure(Map.of("s", limits));
		fleet.turns().share(new FleetShare(daemons, 1));
		fleet.update(List.of(new UpstreamInstance("e", "s", "10.0.0.1:80", "d", 4, false, coldMillis, 1)), 0);
		int count = 0;
		for (int request = 0; request < 100; request++) {
			long nowNanos = Millis.toNanos(10L * request);
			if (!fleet.candidates(limits, Set.of(), nowNanos).isEmpty()) {
				fleet.place("", new LoadEntry("k" + request, "e", 1, 0, 0, 1, 5_000), nowNanos);
				count++;
			}
		}
		assertThat(count).isBetween((coldMillis > 0) ? Math.max(0, sent - 2) : sent, sent);
	}

	@ParameterizedTest(name = "{0} of {1} avoided: {2} candidates")
	@CsvSource({ "0, 3, 3", "1, 3, 2", "3, 3, 3" })
	void avoidsFailedInstancesWhileOthersRemain(int failed, int instances, int candidates) {
		UpstreamFleet fleet = new UpstreamFleet();
		fleet.update(ForwardRig.instances(0, instances), 0);
		for (int index = 0; index < failed; index++) {
			fleet.find("o" + index).orElseThrow().failed(0);
		}
		ServiceLimits limits = new ServiceLimits(ForwardRig.ORDERS, 0, Optional.empty());
		assertThat(fleet.candidates(limits, Set.of(), 1)).hasSize(candidates);
	}

	@ParameterizedTest(name = "{0}")
	@CsvSource({ "an unknown daemon, stranger, k", "an unknown instance, p, k" })
	void ignoresEndOfUnknownWork(String name, String host, String key) {
		UpstreamFleet fleet = new UpstreamFleet();
		fleet.place("p", new LoadEntry(key, "unknown", 1, 1, 1, 1, 5_000), 0);
		fleet.remove(host, key, 0);
		fleet.replace(host, List.of(), 0);
		assertThat(fleet.find("unknown")).isEmpty();
	}

	@ParameterizedTest(name = "incarnation {0}: {1} running")
	@CsvSource({ "1, 1", "2, 0" })
	void dropsLoadOfEarlierIncarnation(long incarnation, int running) {
		UpstreamFleet fleet = new UpstreamFleet();
		fleet.update(List.of(new UpstreamInstance("e", "s", "10.0.0.1:80", "d", 4, false, 0, 1)), 0);
		fleet.place("p", new LoadEntry("k", "e", 1, 1, 1, 1, 5_000), 0);
		fleet.update(List.of(new UpstreamInstance("e", "s", "10.0.0.1:80", "d", 4, false, 0, incarnation)), 1);
		assertThat(fleet.find("e").orElseThrow().running()).isEqualTo(running);
	}

}
