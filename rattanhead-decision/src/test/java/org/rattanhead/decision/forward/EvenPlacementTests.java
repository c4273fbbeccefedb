package org.rattanhead.decision.forward;

import java.util.List;
import java.util.stream.IntStream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.rattanhead.core.forward.ForwardCall;
import org.rattanhead.core.forward.LoadEntry;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Even placement in a large fleet: its switch, and prompts of different lengths.
 */
class EvenPlacementTests {

	@ParameterizedTest(name = "fleet of {0}, even from {1}")
	@CsvSource({ "1, 17", "8, 17", "16, 17", "72, 73" })
	void placesAsBeforeBelowThreshold(int fleet, int evenLoadFrom) {
		List<String> before = targets(new ForwardLimits(0.2, 100, 10_000, 20_000, Integer.MAX_VALUE, 1), 1);
		List<String> below = targets(new ForwardLimits(0.2, 100, 10_000, 20_000, evenLoadFrom, 1), fleet);
		assertThat(below).isEqualTo(before);
	}

	@ParameterizedTest(name = "fleet of {0}, even from {1}")
	@CsvSource({ "17, 17", "73, 17", "2, 1" })
	void logsViewAndCandidatesFromThreshold(int fleet, int evenLoadFrom) {
		ForwardRig rig = rig(new ForwardLimits(0.2, 100, 10_000, 20_000, evenLoadFrom, 1), fleet);
		rig.submit("/ask/", 3_000, ForwardRig.KEY, 1);
		assertThat(rig.last(LogDecision.class).inputs()).extracting(DecisionInput::name)
			.endsWith("view_age_ms", "candidates");
		assertThat(rig.handle(new HeartbeatDue())).contains(new ReportBalance(ForwardRig.ENGINES, 20));
	}

	@ParameterizedTest(name = "{0} of 20 engines read a long prompt, seed {1}")
	@CsvSource({ "5, 1", "10, 2", "18, 3" })
	void keepsShortPromptsOffEnginesThatReadLongPrompt(int reading, int seed) {
		ForwardRig rig = rig(new ForwardLimits(0.2, 100, 10_000, 20_000, 17, 1), 73);
		rig.handle(new PeerLoadStarted("peer",
				IntStream.range(0, reading)
					.mapToObj((index) -> new LoadEntry("p" + index, "e" + index, 10_000, 3_000, 0, 0, 15_000))
					.toList()));
		for (int prompt = 0; prompt < 8; prompt++) {
			rig.submit("/ask/", 3_000, ForwardRig.KEY, seed * 100L + prompt);
		}
		assertThat(rig.all(CallInstance.class)).hasSize(8)
			.allSatisfy((call) -> assertThat(Integer.parseInt(call.call().instance().id().substring(1)))
				.isGreaterThanOrEqualTo(reading));
	}

	@ParameterizedTest(name = "{0} short streams")
	@CsvSource({ "20", "60" })
	void keepsShortPromptsToFewEnginesAndLongOnesApart(int streams) {
		ForwardRig rig = rig(new ForwardLimits(0.2, 100, 10_000, 20_000, 17, 1), 73);
		for (int prompt = 0; prompt < streams; prompt++) {
			rig.submit("/ask/", 3_000, ForwardRig.KEY, prompt);
			rig.startAnswer(rig.lastAttempt());
			rig.advance(20);
		}
		List<String> busy = rig.all(CallInstance.class)
			.stream()
			.map((call) -> call.call().instance().address())
			.distinct()
			.toList();
		assertThat(busy.size()).isLessThanOrEqualTo((int) Math.ceil(streams / 8.25 * 1.1) + 2);
		rig.submit("/long/", 182_000, ForwardRig.KEY, 999);
		rig.advance(1_000);
		ForwardCall call = rig.all(CallInstance.class)
			.stream()
			.map(CallInstance::call)
			.filter((sent) -> sent.request().tokens().orElseThrow().promptTokens() == 182_000)
			.findFirst()
			.orElseThrow();
		assertThat(busy).doesNotContain(call.instance().address());
		assertThat(call.helpers()).isNotEmpty()
			.allSatisfy((helper) -> assertThat(busy).doesNotContain(helper.address()));
	}

	private static ForwardRig rig(ForwardLimits limits, int fleet) {
		ForwardRig rig = new ForwardRig(limits);
		rig.handle(new ConfigurationApplied(ForwardRig.configuration(1)));
		rig.handle(new InstancesChanged(ForwardRig.instances(20, 3)));
		rig.handle(new PeerCountChanged(1, fleet));
		return rig.advance(2_000);
	}

	private static List<String> targets(ForwardLimits limits, int fleet) {
		ForwardRig rig = rig(limits, fleet);
		for (int request = 0; request < 60; request++) {
			rig.submit((request % 7 == 0) ? "/look/" : "/ask/", (request % 7 == 0) ? 0 : 3_000 + request * 100,
					ForwardRig.KEY, request);
			rig.advance(20);
		}
		return rig.all(CallInstance.class).stream().map((call) -> call.call().instance().id()).toList();
	}

}
