package org.rattanhead.decision.room;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.rattanhead.core.forward.EngineModel;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Estimates for engines and plain servers under different loads.
 */
class CapacityEstimateTests {

	private static final EngineModel ENGINE = new EngineModel(8, 197_200, 34, 1.31, 154, 0.162, 1_266);

	// Guards against an estimate that ignores one of the limits of an engine: its slots,
	// its memory or the prompts that it has to read.
	@ParameterizedTest(name = "{0} placed, factor {1}, {2} ms to read, {3} tokens used: first token in {4} to {5} ms")
	@CsvSource({ "0, 1, 0, 0, 60, 100", "7, 1, 0, 20000, 60, 100", "8, 1, 0, 20000, 180, 260",
			"9, 1, 0, 20000, 460, 540", "8, 3.5, 0, 20000, 180, 260", "9, 3.5, 0, 20000, 1100, 1300",
			"7, 1, 500, 20000, 560, 600", "7, 1, 0, 197000, 330, 380" })
	void estimatesFirstTokenOfShortPrompt(int running, double overtaking, double backlogMillis, long usedTokens,
			double least, double most) {
		CapacityEstimate estimate = CapacityEstimate.ofPrompt(ENGINE, new PromptNeed(3_000, 500, 1, overtaking),
				List.of(new InstanceOccupancy(8, running, backlogMillis, usedTokens)));
		assertThat(estimate.firstTokenMillis()).isBetween(least, most);
	}

	// Guards against an estimate by the instance with the most work, or by a single
	// engine for prompts that several read.
	@ParameterizedTest(name = "{0} engines of which one is busy, {1} tokens: first token in {2} to {3} ms")
	@CsvSource({ "2, 3000, 60, 100", "2, 260000, 7000, 7400", "17, 260000, 450, 600", "40, 260000, 450, 500" })
	void estimatesByTheBestInstances(int engines, long promptTokens, double least, double most) {
		List<InstanceOccupancy> instances = new ArrayList<>(
				Collections.nCopies(engines - 1, new InstanceOccupancy(8, 0, 0, 0)));
		instances.add(new InstanceOccupancy(8, 40, 9_000, 190_000));
		PromptNeed need = new PromptNeed(promptTokens, 500, (promptTokens > 100_000) ? 17 : 1, 1);
		assertThat(CapacityEstimate.ofPrompt(ENGINE, need, instances).firstTokenMillis()).isBetween(least, most);
	}

	// Guards against calls that the servers reject because their queues are full.
	@ParameterizedTest(name = "{0} and {1} calls on servers with 6 slots: full {2}, wait {3} ms")
	@CsvSource({ "0, 0, false, 0", "5, 30, false, 0", "29, 30, false, 200", "30, 30, true, 208", "30, 44, true, 208" })
	void estimatesPlainCalls(int first, int second, boolean full, long waitMillis) {
		CapacityEstimate estimate = CapacityEstimate
			.ofCall(List.of(new InstanceOccupancy(6, first, 0, 0), new InstanceOccupancy(6, second, 0, 0)));
		assertThat(estimate.queuesFull()).isEqualTo(full);
		assertThat((long) estimate.waitMillis()).isEqualTo(waitMillis);
		assertThat(estimate.canFinish(1_000)).isEqualTo(!full);
	}

}
