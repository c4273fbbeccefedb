package org.rattanhead.decision.forward;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Load pattern: short prompts at a multiple of what the engines can serve, from callers
 * that return after refusals.
 */
class CapacityOverloadTests {

	private static final int ENGINES = 4;

	private static final long ARRIVALS_MILLIS = 32_000;

	private static final long FROM_MILLIS = 12_000;

	private static final Map<Double, Long> GOODPUT = new ConcurrentHashMap<>();

	// Guards against engines that work for requests which reach their deadline first.
	@ParameterizedTest(name = "{0} times the capacity")
	@ValueSource(doubles = { 1.2, 1.5, 2, 3 })
	void keepsGoodput(double load) {
		long peak = List.of(0.9, 1.0, 1.2, 1.5, 2.0, 3.0)
			.stream()
			.mapToLong(CapacityOverloadTests::goodput)
			.max()
			.orElseThrow();
		assertThat(goodput(load)).isGreaterThanOrEqualTo(95 * peak / 100);
	}

	private static long goodput(double load) {
		return GOODPUT.computeIfAbsent(load, (value) -> {
			OverloadRun run = new OverloadRun(ENGINES);
			List<SimulatedCaller> callers = run.run(ARRIVALS_MILLIS, (now) -> value, 0);
			return callers.stream().filter((caller) -> caller.servedBetween(FROM_MILLIS, ARRIVALS_MILLIS)).count();
		});
	}

}
