package org.rattanhead.decision.forward;

import java.util.HashMap;
import java.util.Map;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against servers that are overloaded in turn because many daemons choose on the
 * same stale view. Loads are in percent of the capacity of the fleet.
 */
class BalanceTests {

	private static final Map<String, BalanceResult> RESULTS = new HashMap<>();

	@ParameterizedTest(name = "{0} gateways, plain {1}, view {2} ms, {3}%, slow {4}")
	@CsvSource({ "8, true, 100, 85, false", "8, true, 1500, 85, true", "73, true, 100, 85, false",
			"73, true, 1500, 85, true", "118, true, 100, 85, true", "118, true, 1500, 85, false",
			"8, false, 100, 85, false", "8, false, 1500, 85, true", "73, false, 100, 85, false",
			"73, false, 1500, 85, false", "73, false, 1500, 85, true", "118, false, 700, 85, true" })
	void keepsPeakNearMean(int gateways, boolean plain, long viewMillis, int percent, boolean slow) {
		BalanceCase load = new BalanceCase(gateways, plain, viewMillis, percent, slow);
		assertThat(run(load, BalanceRule.EVEN).peakToMean()).isLessThanOrEqualTo(1.3);
	}

	@ParameterizedTest(name = "{0} gateways, plain {1}, view {2} ms, {3}%, slow {4}")
	@CsvSource({ "73, true, 100, 50, false", "73, true, 1500, 85, false", "73, true, 1500, 100, true",
			"118, true, 700, 50, true", "73, false, 100, 50, false", "73, false, 1500, 85, true",
			"73, false, 100, 100, false", "118, false, 1500, 100, false" })
	void staysWithinTenthOfPerfectView(int gateways, boolean plain, long viewMillis, int percent, boolean slow) {
		BalanceCase load = new BalanceCase(gateways, plain, viewMillis, percent, slow);
		assertThat(run(load, BalanceRule.EVEN).peakToMean())
			.isLessThanOrEqualTo(1.1 * run(load, BalanceRule.PERFECT_VIEW).peakToMean());
	}

	@ParameterizedTest(name = "{0} gateways, plain {1}, view {2} ms, {3}%, slow {4}")
	@CsvSource({ "8, false, 1500, 85, false", "73, false, 100, 50, true", "73, false, 100, 85, false",
			"73, false, 1500, 85, true", "118, false, 700, 85, false", "73, false, 100, 100, false",
			"73, false, 1500, 100, false", "73, false, 700, 100, true", "73, true, 700, 50, false",
			"73, true, 700, 85, false", "73, true, 1500, 85, true", "73, false, 100, 100, true",
			"73, false, 1500, 100, true" })
	void rejectsTenthOfPreviousRule(int gateways, boolean plain, long viewMillis, int percent, boolean slow) {
		BalanceCase load = new BalanceCase(gateways, plain, viewMillis, percent, slow);
		assertThat(run(load, BalanceRule.EVEN).rejectedShare())
			.isLessThanOrEqualTo(0.1 * run(load, BalanceRule.PREVIOUS).rejectedShare());
	}

	@ParameterizedTest(name = "{0} gateways, view {1} ms, {2}%, slow {3}")
	@CsvSource({ "73, 100, 85, false", "73, 700, 85, false", "73, 1500, 85, false", "118, 700, 85, true",
			"73, 1500, 100, false" })
	void rejectsFewerThanOtherRules(int gateways, long viewMillis, int percent, boolean slow) {
		BalanceCase load = new BalanceCase(gateways, false, viewMillis, percent, slow);
		double rejected = run(load, BalanceRule.EVEN).rejectedShare();
		assertThat(rejected).isLessThan(run(load, BalanceRule.PREVIOUS).rejectedShare())
			.isLessThan(run(load, BalanceRule.RANDOM).rejectedShare())
			.isLessThanOrEqualTo(run(load, BalanceRule.TWO_CHOICES).rejectedShare() + 0.002);
	}

	private static BalanceResult run(BalanceCase load, BalanceRule rule) {
		return RESULTS.computeIfAbsent(load + " " + rule, (name) -> new BalanceSimulation(load, rule, 1).run());
	}

}
