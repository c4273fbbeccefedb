package org.rattanhead.decision.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.IntStream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.rattanhead.core.catalogue.UpstreamEntry;
import org.rattanhead.core.host.Host;
import org.rattanhead.decision.Fixtures;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link LeasePlacement}.
 */
class LeasePlacementTests {

	@ParameterizedTest(name = "{0} daemons, {1} upstreams")
	@CsvSource({ "3, 300", "9, 900", "30, 3000" })
	void movesOnlyTheUpstreamsOfALostDaemon(int daemons, int upstreams) {
		List<Host> hosts = IntStream.range(0, daemons)
			.mapToObj((index) -> Fixtures.entryHost("d" + index, "a"))
			.toList();
		Map<String, String> before = place(hosts, upstreams);
		List<Host> fewer = new ArrayList<>(hosts);
		Host lost = fewer.remove(daemons / 2);
		Map<String, String> after = place(fewer, upstreams);
		before.forEach((upstream, holder) -> {
			if (!holder.equals(lost.name())) {
				assertThat(after.get(upstream)).isEqualTo(holder);
			}
		});
		long largestShare = hosts.stream()
			.mapToLong((host) -> before.values().stream().filter(host.name()::equals).count())
			.max()
			.orElseThrow();
		assertThat(largestShare).isLessThan(2L * upstreams / daemons);
	}

	@ParameterizedTest(name = "daemons in {0}, upstream in {1}")
	@CsvSource({ "a, a, true", "b, a, true", "other-region, a, false" })
	void assignsOnlyDaemonsOfTheSameRegion(String daemonDomain, String upstreamDomain, boolean found) {
		Optional<Host> holder = LeasePlacement.holder(Fixtures.engine("e", upstreamDomain, 1, 1),
				List.of(Fixtures.entryHost("d", daemonDomain)), (domain) -> !domain.equals("other-region"));
		assertThat(holder.isPresent()).isEqualTo(found);
	}

	private static Map<String, String> place(List<Host> hosts, int upstreams) {
		Map<String, String> holders = new HashMap<>();
		for (int index = 0; index < upstreams; index++) {
			UpstreamEntry upstream = Fixtures.engine("e" + index, "a", 1, 1);
			holders.put(upstream.name(), LeasePlacement.holder(upstream, hosts, (domain) -> true).orElseThrow().name());
		}
		return holders;
	}

}
