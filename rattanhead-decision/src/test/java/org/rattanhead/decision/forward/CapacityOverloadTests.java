package org.rattanhead.decision.forward;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
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

	// Guards against refused callers that find no capacity when there is some again.
	@ParameterizedTest(name = "{0} times the capacity for {1} ms")
	@CsvSource({ "1.5, 12000", "2, 5000", "3, 3000" })
	void servesRefusedCallersOnceThereIsCapacity(double load, long millis) {
		List<SimulatedCaller> refused = new OverloadRun(ENGINES)
			.run(ARRIVALS_MILLIS, (now) -> (now < millis) ? load : 0.2, 0)
			.stream()
			.filter((caller) -> caller.refusals() > 0)
			.toList();
		assertThat(refused).isNotEmpty();
		assertThat(share(refused)).isGreaterThanOrEqualTo(0.8);
	}

	// Guards against callers that gain by returning earlier and more often than asked.
	@ParameterizedTest(name = "{0} times the capacity")
	@ValueSource(doubles = { 1.2, 1.5, 2, 3 })
	void givesImmediateRepeatersNoMoreThanOthers(double load) {
		List<SimulatedCaller> callers = new OverloadRun(ENGINES).run(ARRIVALS_MILLIS, (now) -> load, 0.3);
		assertThat(share(callers.stream().filter(SimulatedCaller::impatient).toList()))
			.isLessThanOrEqualTo(share(callers.stream().filter((caller) -> !caller.impatient()).toList()));
	}

	private static double share(List<SimulatedCaller> callers) {
		return callers.stream().filter(SimulatedCaller::served).count() / (double) callers.size();
	}

	private static long goodput(double load) {
		return GOODPUT.computeIfAbsent(load, (value) -> {
			OverloadRun run = new OverloadRun(ENGINES);
			List<SimulatedCaller> callers = run.run(ARRIVALS_MILLIS, (now) -> value, 0);
			return callers.stream().filter((caller) -> caller.servedBetween(FROM_MILLIS, ARRIVALS_MILLIS)).count();
		});
	}

}
