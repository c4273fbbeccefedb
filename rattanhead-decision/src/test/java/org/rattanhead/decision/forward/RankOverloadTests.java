package org.rattanhead.decision.forward;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.rattanhead.core.request.RequestId;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Load pattern: requests of three ranks arrive at 1.2 to 3 times the rate that the
 * engines can serve. Guards against less urgent requests being served more often than
 * more urgent ones.
 */
class RankOverloadTests {

	private static final int ENGINES = 8;

	private static final int GATEWAYS = 4;

	private static final long LOAD_MILLIS = 40_000;

	private static final List<String> PATHS = List.of("/short/", "/medium/", "/long/");

	@ParameterizedTest(name = "{0} times the capacity, prompts of {1}, {2} and {3} tokens, {4}, {5} and {6} of 100")
	@CsvSource({ "1.2, 5000, 5000, 5000, 34, 33, 33", "1.5, 5000, 5000, 5000, 34, 33, 33",
			"2, 5000, 5000, 5000, 34, 33, 33", "3, 5000, 5000, 5000, 34, 33, 33", "1.2, 5000, 45000, 190000, 88, 9, 3",
			"1.5, 5000, 45000, 190000, 88, 9, 3", "2, 5000, 45000, 190000, 88, 9, 3",
			"3, 5000, 45000, 190000, 88, 9, 3" })
	void servesMoreUrgentRanksAtLeastAsOften(double load, long shortTokens, long mediumTokens, long longTokens,
			int shortShare, int mediumShare, int longShare) {
		List<Long> tokens = List.of(shortTokens, mediumTokens, longTokens);
		List<Integer> shares = List.of(shortShare, mediumShare, longShare);
		RankedFleet fleet = new RankedFleet(GATEWAYS, ENGINES, true, RankedConfiguration.of(0, 1, 2));
		Random random = new Random(1);
		double gapMillis = 1 / (load * capacityPerMilli(tokens, shares));
		Map<Integer, List<RequestId>> submitted = new TreeMap<>();
		for (double atMillis = 0; atMillis < LOAD_MILLIS; atMillis -= gapMillis * Math.log(1 - random.nextDouble())) {
			int draw = random.nextInt(100);
			int kind = (draw < shortShare) ? 0 : ((draw < shortShare + mediumShare) ? 1 : 2);
			fleet.after(Math.round(atMillis),
					() -> submitted.computeIfAbsent(kind, (key) -> new ArrayList<>())
						.add(fleet.submit(random.nextInt(GATEWAYS),
								new OfferedPrompt(PATHS.get(kind), RankedConfiguration.LARGE_KEY, tokens.get(kind)),
								(kind == 2) ? 15_000 : 10_000)));
		}
		fleet.advance(LOAD_MILLIS + 16_000);
		List<Double> served = submitted.values()
			.stream()
			.map((ids) -> ids.stream().filter(fleet::served).count() / (double) ids.size())
			.toList();
		assertThat(served.get(0)).isGreaterThan(served.get(1) - 0.05).isGreaterThan(served.get(2) - 0.05);
		assertThat(served.get(1)).isGreaterThan(served.get(2) - 0.05);
	}

	private static double capacityPerMilli(List<Long> tokens, List<Integer> shares) {
		double readMillis = 0;
		for (int kind = 0; kind < tokens.size(); kind++) {
			readMillis += RankedConfiguration.ENGINE.readMillis(tokens.get(kind)) * shares.get(kind) / 100;
		}
		double slotMillis = (QueueingEngine.STREAM_MILLIS + readMillis) / RankedConfiguration.ENGINE.slots();
		return ENGINES / Math.max(readMillis, slotMillis);
	}

}
